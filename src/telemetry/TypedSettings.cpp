#include "src/telemetry/Settings.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

/// Typed settings, each implemented by Settings::Add() with an acceptor.
namespace foxtailbarrow {

namespace {

constexpr std::string_view kEndpointAllowed =
  "an IPv4 address and a port in 1..65535, as in 127.0.0.1:8080";
constexpr std::string_view kListenAllowed =
  "an IPv4 address and a port in 0..65535, as in 127.0.0.1:0";

std::optional<Endpoint> ParseListen(std::string_view aText)
{
  constexpr std::string_view kAnyPort = ":0";
  if (!aText.ends_with(kAnyPort)) {
    return ParseEndpoint(aText);
  }
  aText.remove_suffix(kAnyPort.size());
  std::optional<Endpoint> endpoint = ParseEndpoint(std::string(aText) + ":1");
  if (endpoint) {
    endpoint->mPort = 0;
  }
  return endpoint;
}

std::optional<std::vector<Endpoint>> ParseEndpoints(std::string_view aText)
{
  std::vector<Endpoint> endpoints;
  for (const std::string& part : std::vector<std::string>(
         absl::StrSplit(absl::string_view(aText.data(), aText.size()), ','))) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(part);
    if (!endpoint) {
      return std::nullopt;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints;
}

std::string DefaultText(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress.empty() ? "" : ToString(aEndpoint);
}

} // namespace

Setting Settings::AddText(std::string_view aFlag,
                          std::string& aTarget,
                          std::string_view aHelp)
{
  return Add(
    aFlag,
    aHelp,
    "any non-empty text",
    [&aTarget](std::string_view aText) {
      aTarget = aText;
      return !aText.empty();
    },
    aTarget);
}

Setting Settings::AddListen(std::string_view aFlag,
                            Endpoint& aTarget,
                            std::string_view aHelp)
{
  return Add(
    aFlag,
    aHelp,
    kListenAllowed,
    [&aTarget](std::string_view aText) {
      const std::optional<Endpoint> endpoint = ParseListen(aText);
      aTarget = endpoint.value_or(aTarget);
      return endpoint.has_value();
    },
    DefaultText(aTarget));
}

Setting Settings::AddEndpoint(std::string_view aFlag,
                              Endpoint& aTarget,
                              std::string_view aHelp)
{
  return Add(
    aFlag,
    aHelp,
    kEndpointAllowed,
    [&aTarget](std::string_view aText) {
      const std::optional<Endpoint> endpoint = ParseEndpoint(aText);
      aTarget = endpoint.value_or(aTarget);
      return endpoint.has_value();
    },
    DefaultText(aTarget));
}

Setting Settings::AddEndpoints(std::string_view aFlag,
                               std::vector<Endpoint>& aTarget,
                               std::string_view aHelp)
{
  return Add(aFlag,
             aHelp,
             absl::StrCat("a comma-separated list, each ",
                          std::string(kEndpointAllowed)),
             [&aTarget](std::string_view aText) {
               std::optional<std::vector<Endpoint>> endpoints =
                 ParseEndpoints(aText);
               if (!endpoints) {
                 return false;
               }
               aTarget = std::move(*endpoints);
               return true;
             });
}

Setting Settings::AddNumber(std::string_view aFlag,
                            std::int64_t aDefault,
                            SettingRange<std::int64_t> aRange,
                            std::function<void(std::int64_t)> aStore,
                            std::string_view aHelp)
{
  return Add(
    aFlag,
    aHelp,
    absl::StrCat("a whole number in ", aRange.mMin, "..", aRange.mMax),
    [aRange, store = std::move(aStore)](std::string_view aText) {
      std::int64_t value = 0;
      if (!absl::SimpleAtoi(std::string(aText), &value) ||
          value < aRange.mMin || value > aRange.mMax) {
        return false;
      }
      store(value);
      return true;
    },
    std::to_string(aDefault));
}

Setting Settings::AddMilliseconds(std::string_view aFlag,
                                  Duration& aTarget,
                                  SettingRange<Duration> aRange,
                                  std::string_view aHelp)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return AddNumber(
    aFlag,
    duration_cast<milliseconds>(aTarget).count(),
    { duration_cast<milliseconds>(aRange.mMin).count(),
      duration_cast<milliseconds>(aRange.mMax).count() },
    [&aTarget](std::int64_t aValue) { aTarget = milliseconds(aValue); },
    aHelp);
}

Setting Settings::AddFraction(std::string_view aFlag,
                              double& aTarget,
                              SettingRange<double> aRange,
                              std::string_view aHelp)
{
  return Add(
    aFlag,
    aHelp,
    absl::StrCat("a number in ", aRange.mMin, "..", aRange.mMax),
    [&aTarget, aRange](std::string_view aText) {
      double value = 0.0;
      // Written so that "nan" is also refused.
      if (!absl::SimpleAtod(std::string(aText), &value) ||
          !(value >= aRange.mMin && value <= aRange.mMax)) {
        return false;
      }
      aTarget = value;
      return true;
    },
    absl::StrCat(aTarget));
}

Setting Settings::AddChoice(std::string_view aFlag,
                            std::string& aTarget,
                            std::initializer_list<std::string_view> aAllowed,
                            std::string_view aHelp)
{
  const std::vector<std::string> allowed(aAllowed.begin(), aAllowed.end());
  return Add(
    aFlag,
    aHelp,
    absl::StrJoin(allowed, ", "),
    [&aTarget, allowed](std::string_view aText) {
      if (std::find(allowed.begin(), allowed.end(), aText) == allowed.end()) {
        return false;
      }
      aTarget = aText;
      return true;
    },
    aTarget);
}

Setting Settings::AddLogLevel(LogLevel& aTarget)
{
  return Add(
    "--log-level",
    "lines of this level and above go to standard error",
    "error, warn, info, debug",
    [&aTarget](std::string_view aText) {
      const std::optional<LogLevel> level = ParseLogLevel(aText);
      aTarget = level.value_or(aTarget);
      return level.has_value();
    },
    ToString(aTarget));
}

} // namespace foxtailbarrow
