#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailbarrow::net {

/// Header of every error response: whether the request may have run.
inline constexpr std::string_view kVerdictHeader = "Foxtailbarrow-Verdict";

struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

/// Headers in insertion order, with case-insensitive names.
class HttpHeaders
{
public:
  void Set(std::string_view aName, std::string_view aValue);
  /// Adds a header even if one of the same name exists, so that repeated
  /// headers such as Set-Cookie are preserved.
  void Append(std::string_view aName, std::string_view aValue);
  void Erase(std::string_view aName);
  std::optional<std::string_view> Find(std::string_view aName) const;
  const std::vector<HttpHeader>& All() const { return mHeaders; }

private:
  std::vector<HttpHeader> mHeaders;
};

/// Request with its complete body. Content-Length, Connection and
/// Transfer-Encoding are set by the client and server and not stored here.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
  std::string mHost{}; ///< As received; ignored by the client.
};

/// Status that makes the server close the connection without a response. Used
/// by stand-ins to simulate lost replies.
inline constexpr unsigned kCloseWithoutAnswer = 0;

/// Response with its complete body, never a truncated one.
struct HttpResponse
{
  unsigned mStatus = 200; ///< See also kCloseWithoutAnswer.
  HttpHeaders mHeaders;
  std::string mBody;
};

} // namespace foxtailbarrow::net
