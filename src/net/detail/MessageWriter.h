#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Endpoint.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::net::detail {

/// Bodies up to this size are copied behind the head, so that one buffer is
/// written; larger ones are gathered by the kernel.
inline constexpr std::size_t kMaxCopiedBody = 4UL * 1024;

/// Appends the head of a request, up to the empty line.
void AppendHead(std::string& aOut,
                const HttpRequest& aRequest,
                std::string_view aHost);

enum class BodyFraming
{
  ContentLength,
  Chunked,
  None, ///< 1xx, 204 and 304 carry no length.
};

/// Appends the head of a response, up to the empty line. The content length
/// is that of the body.
void AppendHead(std::string& aOut,
                const HttpResponse& aResponse,
                BodyFraming aFraming,
                bool aKeepAlive);

/// The framing that RFC 9110 asks for a response of this status.
BodyFraming FramingOf(unsigned aStatus);

/// True unless the text could break out of a header line.
bool IsSafeText(std::string_view aText);

} // namespace foxtailbarrow::net::detail
