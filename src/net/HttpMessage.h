#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailbarrow::net {

/// Header of every error answer: says whether the request may have run.
inline constexpr std::string_view kVerdictHeader = "Foxtailbarrow-Verdict";

/// One header of an HTTP message.
struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

/// Headers in order. Names compare without regard to case.
class HttpHeaders
{
public:
  void Set(std::string_view aName, std::string_view aValue);
  /// Adds a header without looking for one of the same name, so that repeated
  /// headers such as Set-Cookie pass unchanged.
  void Append(std::string_view aName, std::string_view aValue);
  void Erase(std::string_view aName);
  std::optional<std::string_view> Find(std::string_view aName) const;
  const std::vector<HttpHeader>& All() const { return mHeaders; }

private:
  std::vector<HttpHeader> mHeaders;
};

/// Request with its whole body. Content-Length, Connection and
/// Transfer-Encoding are set by the server and client, not kept here.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
  std::string mHost{}; ///< As received; a client names its peer instead.
};

/// Status with which a handler makes the server close the connection without
/// an answer, as stand-ins do that lose replies on purpose.
inline constexpr unsigned kCloseWithoutAnswer = 0;

/// Response with its whole body; a truncated one is never built.
struct HttpResponse
{
  unsigned mStatus = 200; ///< See also kCloseWithoutAnswer.
  HttpHeaders mHeaders;
  std::string mBody;
};

} // namespace foxtailbarrow::net
