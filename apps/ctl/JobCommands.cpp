#include "apps/ctl/JobCommands.h"

#include <utility>

#include "absl/strings/str_cat.h"

#include "apps/ctl/EntryAnswer.h"
#include "apps/ctl/JsonText.h"
#include "apps/ctl/TextTable.h"
#include "foxtailbarrow/RequestHeaders.h"
#include "src/core/message/Codec.h"

namespace foxtailbarrow::ctl {

namespace {

constexpr char kJobsTarget[] = "/foxtailbarrow/v1/jobs";
constexpr bool kRepeatable = true;

net::HttpRequest Request(std::string aMethod, std::string aTarget)
{
  net::HttpRequest request;
  request.mMethod = std::move(aMethod);
  request.mTarget = std::move(aTarget);
  return request;
}

std::string JobTarget(const std::string& aJob)
{
  return absl::StrCat(kJobsTarget, "/", aJob);
}

std::string ListTarget(const std::string& aCustomer, const std::string& aState)
{
  std::string target = kJobsTarget;
  if (!aCustomer.empty()) {
    absl::StrAppend(&target, "?customer=", aCustomer);
  }
  if (!aState.empty()) {
    absl::StrAppend(&target, aCustomer.empty() ? "?" : "&", "state=", aState);
  }
  return target;
}

CommandResult JobTable(const Json::Value& aBody)
{
  TextTable table({ "ID",
                    "CUSTOMER",
                    "KIND",
                    "PRIORITY",
                    "STATE",
                    "AGENT",
                    "EPOCH",
                    "EVICTIONS",
                    "REASON" });
  for (const Json::Value& job : aBody["jobs"]) {
    table.Add({ CellText(job["id"]),
                CellText(job["customer"]),
                CellText(job["kind"]),
                CellText(job["priority"]),
                CellText(job["state"]),
                CellText(job["agent"]),
                CellText(job["epoch"]),
                CellText(job["evictions"]),
                CellText(job["reason"]) });
  }
  std::string text = table.Text();
  for (const Json::Value& entry : aBody["unreachable"]) {
    absl::StrAppend(
      &text, "incomplete: no answer from entry ", CellText(entry), "\n");
  }
  return Succeed(std::move(text), aBody);
}

/// Formats the job's record. It is complete in an explanation, and a summary if
/// no entry owns the job's shard at the moment.
std::string ExplanationHeader(const Json::Value& aBody)
{
  const Json::Value& record =
    aBody.isMember("record") ? aBody["record"] : aBody;
  const Json::Value& spec = record.isMember("spec") ? record["spec"] : record;
  return absl::StrCat("job ",
                      CellText(spec["id"]),
                      " of ",
                      CellText(spec["customer"]),
                      ": ",
                      CellText(record["state"]),
                      ", epoch ",
                      CellText(record["epoch"]),
                      ", reason ",
                      CellText(record["reason"]),
                      "\n");
}

CommandResult Explanation(const Json::Value& aBody)
{
  TextTable table({ "AGE-MS", "EPOCH", "STATE", "REASON", "TIMES", "AGENT" });
  for (const Json::Value& decision : aBody["decisions"]) {
    table.Add({ CellText(decision["ageMs"]),
                CellText(decision["epoch"]),
                CellText(decision["state"]),
                CellText(decision["reason"]),
                CellText(decision["times"]),
                CellText(decision["agent"]) });
  }
  return Succeed(ExplanationHeader(aBody) + table.Text(), aBody);
}

} // namespace

std::string SubmissionBody(const JobSpec& aSpec)
{
  Json::Value body = ToJson(aSpec);
  body.removeMember("id");
  return FormatJson(body);
}

CommandResult SubmitJob(const CallEntry& aCall,
                        const std::string& aBody,
                        const std::string& aIdempotencyKey)
{
  net::HttpRequest request = Request("POST", kJobsTarget);
  request.mHeaders.Set("Content-Type", "application/json");
  request.mHeaders.Set(kIdempotencyKeyHeader, aIdempotencyKey);
  request.mBody = aBody;
  return ToCommandResult(
    "job not submitted, idempotency key " + aIdempotencyKey,
    aCall(request, kRepeatable),
    [](const Json::Value& aAnswer) {
      return Succeed(absl::StrCat("accepted ",
                                  CellText(aAnswer["id"]),
                                  ", ",
                                  CellText(aAnswer["state"]),
                                  "\n"),
                     aAnswer);
    });
}

CommandResult ListJobs(const CallEntry& aCall,
                       const std::string& aCustomer,
                       const std::string& aState)
{
  return ToCommandResult(
    "jobs",
    aCall(Request("GET", ListTarget(aCustomer, aState)), kRepeatable),
    JobTable);
}

CommandResult ExplainJob(const CallEntry& aCall, const std::string& aJob)
{
  return ToCommandResult(
    "job " + aJob,
    aCall(Request("GET", JobTarget(aJob) + "/explain"), kRepeatable),
    Explanation);
}

CommandResult CancelJob(const CallEntry& aCall, const std::string& aJob)
{
  return ToCommandResult("job " + aJob,
                         aCall(Request("DELETE", JobTarget(aJob)), kRepeatable),
                         [&aJob](const Json::Value& aAnswer) {
                           return Succeed("cancel of " + aJob + " accepted\n",
                                          aAnswer);
                         });
}

} // namespace foxtailbarrow::ctl
