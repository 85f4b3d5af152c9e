#include "apps/ctl/CommandResult.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow::ctl {

namespace {

bool IsRefusal(const absl::Status& aStatus)
{
  switch (aStatus.code()) {
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
    case absl::StatusCode::kAlreadyExists:
    case absl::StatusCode::kPermissionDenied:
    case absl::StatusCode::kFailedPrecondition:
    case absl::StatusCode::kAborted:
      return true;
    default:
      return false;
  }
}

} // namespace

CommandResult Succeed(std::string aText, Json::Value aJson)
{
  return { kExitOk, std::move(aText), std::move(aJson) };
}

CommandResult Fail(int aExitCode, std::string aText)
{
  Json::Value json(Json::objectValue);
  json["error"] = aText;
  return { aExitCode, std::move(aText), std::move(json) };
}

CommandResult Fail(std::string_view aWhat, const absl::Status& aStatus)
{
  CommandResult result =
    Fail(IsRefusal(aStatus) ? kExitRefused : kExitUnreachable,
         absl::StrCat(std::string(aWhat),
                      ": ",
                      aStatus.message(),
                      " (",
                      std::string(ToString(VerdictOf(aStatus))),
                      ")"));
  result.mJson["verdict"] = std::string(ToString(VerdictOf(aStatus)));
  return result;
}

} // namespace foxtailbarrow::ctl
