#include "apps/ctl/EntryAnswer.h"

#include <string>

#include "absl/strings/str_cat.h"

#include "src/core/message/Json.h"

namespace foxtailbarrow::ctl {

namespace {

constexpr unsigned kFirstServerError = 500;

bool IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

std::string MemberText(const Json::Value& aBody, const char* aName)
{
  return aBody.isObject() && aBody[aName].isString() ? aBody[aName].asString()
                                                     : std::string();
}

/// For example "no such job (not-run); retry after 2 s".
std::string ErrorText(const net::HttpResponse& aResponse,
                      const Json::Value& aBody)
{
  std::string text = MemberText(aBody, "error");
  if (text.empty()) {
    text = absl::StrCat("HTTP status ", aResponse.mStatus);
  }
  if (const std::string reason = MemberText(aBody, "reason");
      !reason.empty() && reason != "none") {
    absl::StrAppend(&text, ", reason ", reason);
  }
  if (const std::string verdict = MemberText(aBody, "verdict");
      !verdict.empty()) {
    absl::StrAppend(&text, " (", verdict, ")");
  }
  if (const auto after = aResponse.mHeaders.Find("Retry-After")) {
    absl::StrAppend(&text, "; retry after ", std::string(*after), " s");
  }
  return text;
}

} // namespace

CommandResult ToCommandResult(
  std::string_view aWhat,
  const absl::StatusOr<net::HttpResponse>& aAnswer,
  const std::function<CommandResult(const Json::Value&)>& aOnSuccess)
{
  if (!aAnswer.ok()) {
    return Fail(aWhat, aAnswer.status());
  }
  const absl::StatusOr<Json::Value> body = ParseJson(aAnswer->mBody);
  if (!IsSuccess(aAnswer->mStatus)) {
    const int exitCode =
      aAnswer->mStatus >= kFirstServerError ? kExitUnreachable : kExitRefused;
    return Fail(
      exitCode,
      absl::StrCat(std::string(aWhat),
                   ": ",
                   ErrorText(*aAnswer, body.ok() ? *body : Json::Value())));
  }
  if (!body.ok()) {
    return Fail(kExitUnreachable,
                absl::StrCat(std::string(aWhat),
                             ": the answer is not valid JSON: ",
                             body.status().message()));
  }
  return aOnSuccess(*body);
}

} // namespace foxtailbarrow::ctl
