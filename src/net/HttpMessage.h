#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtailbarrow::net {

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
  void Erase(std::string_view aName);
  std::optional<std::string_view> Find(std::string_view aName) const;
  const std::vector<HttpHeader>& All() const { return mHeaders; }

private:
  std::vector<HttpHeader> mHeaders;
};

/// Request with its whole body. Host, Content-Length, Connection and
/// Transfer-Encoding are set by the server and client, not kept here.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
};

/// Response with its whole body; a truncated one is never built.
struct HttpResponse
{
  unsigned mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
};

} // namespace foxtailbarrow::net
