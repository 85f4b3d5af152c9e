#include "src/telemetry/AdminPages.h"

#include <string>
#include <string_view>
#include <utility>

#include <json/writer.h>

namespace foxtailbarrow {

namespace {

using net::HttpResponse;

constexpr std::string_view kMetricsType =
  "text/plain; version=0.0.4; charset=utf-8";
constexpr std::string_view kTextType = "text/plain; charset=utf-8";
constexpr std::string_view kJsonType = "application/json";
constexpr std::string_view kStatePath = "/state";

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kUnavailable = 503;

HttpResponse Page(unsigned aStatus, std::string_view aType, std::string aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders.Set("Content-Type", aType);
  response.mBody = std::move(aBody);
  return response;
}

HttpResponse HealthPage(const absl::Status& aHealth)
{
  if (aHealth.ok()) {
    return Page(kOk, kTextType, "ok\n");
  }
  return Page(kUnavailable, kTextType, aHealth.ToString() + "\n");
}

HttpResponse StatePage(const Json::Value& aState, std::string_view aPart)
{
  const std::string part(aPart);
  if (!part.empty() && !aState.isMember(part)) {
    return Page(
      kNotFound, kTextType, "unknown part of the state: " + part + "\n");
  }
  const Json::Value& shown = part.empty() ? aState : aState[part];
  return Page(
    kOk, kJsonType, Json::writeString(Json::StreamWriterBuilder(), shown));
}

std::string_view PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

/// The part named by a path under /state; nullopt for any other path.
std::optional<std::string_view> StatePart(std::string_view aPath)
{
  if (aPath == kStatePath) {
    return "";
  }
  if (aPath.starts_with(kStatePath) && aPath[kStatePath.size()] == '/') {
    return aPath.substr(kStatePath.size() + 1);
  }
  return std::nullopt;
}

} // namespace

AdminPages::AdminPages(Metrics& aMetrics, StateDump& aState, Health aHealth)
  : mMetrics(aMetrics)
  , mState(aState)
  , mHealth(std::move(aHealth))
{
}

std::optional<HttpResponse> AdminPages::Answer(
  const net::HttpRequest& aRequest) const
{
  const std::string_view path = PathOf(aRequest.mTarget);
  const std::optional<std::string_view> part = StatePart(path);
  const bool known = path == "/metrics" || path == "/healthz" || part;
  if (!known) {
    return std::nullopt;
  }
  if (aRequest.mMethod != "GET" && aRequest.mMethod != "HEAD") {
    return Page(kMethodNotAllowed, kTextType, "allowed: GET, HEAD\n");
  }
  if (path == "/metrics") {
    return Page(kOk, kMetricsType, mMetrics.Text());
  }
  if (path == "/healthz") {
    return HealthPage(mHealth());
  }
  return StatePage(mState.Collect(), *part);
}

} // namespace foxtailbarrow
