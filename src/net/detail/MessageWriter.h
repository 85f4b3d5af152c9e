#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "foxtailbarrow/Endpoint.h"
#include "src/net/HttpMessage.h"

namespace foxtailbarrow::net::detail {

/// Bodies up to this size are appended to the head and written as one buffer;
/// larger ones use a gather write.
inline constexpr std::size_t kMaxCopiedBody = 4UL * 1024;

/// Appends the head of a request, including the empty line.
void AppendHead(std::string& aOut,
                const HttpRequest& aRequest,
                std::string_view aHost);

enum class BodyFraming
{
  ContentLength,
  Chunked,
  None, ///< 1xx, 204 and 304 have no length.
};

/// Appends the head of a response, including the empty line. The content length
/// is that of `aResponse`'s body.
void AppendHead(std::string& aOut,
                const HttpResponse& aResponse,
                BodyFraming aFraming,
                bool aKeepAlive);

/// The framing that RFC 9110 requires for a response with this status.
BodyFraming FramingOf(unsigned aStatus);

/// False if the text contains characters that end a header line.
bool IsSafeText(std::string_view aText);

} // namespace foxtailbarrow::net::detail
