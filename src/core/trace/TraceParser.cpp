#include <cstddef>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "src/core/contract/ContractDocument.h"
#include "src/core/message/Json.h"
#include "src/core/trace/Trace.h"
#include "src/core/trace/detail/TraceFields.h"

namespace foxtailbarrow {

namespace {

using detail::TraceLine;

constexpr std::size_t kMaxReportedProblems = 20;
constexpr std::string_view kLineAllowed =
  "exactly one of header, request, job, cancel, contract";
constexpr std::string_view kMethods[] = {
  "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
};

int MembersSet(const TraceLine& aLine)
{
  return int{ aLine.mHeader.has_value() } + int{ aLine.mRequest.has_value() } +
         int{ aLine.mJob.has_value() } + int{ aLine.mCancel.has_value() } +
         int{ aLine.mContract.has_value() };
}

TraceEvent ToEvent(TraceLine aLine)
{
  if (aLine.mRequest) {
    return *std::move(aLine.mRequest);
  }
  if (aLine.mJob) {
    return *std::move(aLine.mJob);
  }
  if (aLine.mCancel) {
    return *std::move(aLine.mCancel);
  }
  return TraceContract{ aLine.mContract->mAtMs,
                        aLine.mContract->mDocument.mContract };
}

/// Parses a trace line by line and collects the problems.
class TraceParser
{
public:
  void ParseLine(std::string_view aLine)
  {
    ++mNumber;
    const absl::StatusOr<Json::Value> value = ParseJson(aLine);
    if (!value.ok()) {
      AddProblem(std::string(value.status().message()));
      return;
    }
    FieldProblems problems;
    TraceLine line;
    detail::ObjectReader::ReadRoot(*value, line, problems);
    for (const FieldProblem& problem : problems) {
      AddProblem(ToString(problem));
    }
    if (problems.empty()) {
      AddLine(std::move(line));
    }
  }

  bool HasMaxProblems() const
  {
    return mProblems.size() >= kMaxReportedProblems;
  }

  absl::StatusOr<Trace> Finish()
  {
    if (mNumber == 0) {
      mProblems.emplace_back("line 1: found nothing, allowed a header");
    }
    if (!mProblems.empty()) {
      return absl::InvalidArgumentError(absl::StrJoin(mProblems, "\n"));
    }
    return std::move(mTrace);
  }

private:
  void AddProblem(const std::string& aProblem)
  {
    mProblems.push_back(absl::StrCat("line ", mNumber, ": ", aProblem));
  }

  void AddFieldProblem(std::string aField,
                       std::string aFound,
                       std::string aAllowed)
  {
    AddProblem(ToString(FieldProblem{
      std::move(aField), std::move(aFound), std::move(aAllowed) }));
  }

  void AddLine(TraceLine aLine)
  {
    if (MembersSet(aLine) != 1) {
      AddFieldProblem("line",
                      absl::StrCat(MembersSet(aLine), " members"),
                      std::string(kLineAllowed));
      return;
    }
    const bool isFirst = mNumber == 1;
    if (isFirst != aLine.mHeader.has_value()) {
      AddFieldProblem("line",
                      isFirst ? "no header" : "a second header",
                      "the header on line 1 only");
      return;
    }
    if (aLine.mHeader) {
      mTrace.mHeader = *std::move(aLine.mHeader);
      return;
    }
    AddEvent(ToEvent(std::move(aLine)));
  }

  void AddEvent(TraceEvent aEvent)
  {
    CheckTime(AtMs(aEvent));
    std::visit([this](const auto& aLine) { Check(aLine); }, aEvent);
    mTrace.mEvents.push_back(std::move(aEvent));
  }

  void CheckTime(std::int64_t aAtMs)
  {
    const std::int64_t end = mTrace.mHeader.mDurationMs;
    if (aAtMs < mLatestMs || aAtMs > end) {
      AddFieldProblem("atMs",
                      std::to_string(aAtMs),
                      absl::StrCat(mLatestMs,
                                   "..",
                                   end,
                                   " (not before the previous line, within"
                                   " the header's durationMs)"));
      return;
    }
    mLatestMs = aAtMs;
  }

  void Check(const TraceRequest& aRequest)
  {
    if (std::ranges::find(kMethods, aRequest.mMethod) == std::end(kMethods)) {
      AddFieldProblem("request.method",
                      aRequest.mMethod,
                      "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");
    }
    if (!aRequest.mPath.starts_with('/') || !IsTarget(aRequest.mPath)) {
      AddFieldProblem("request.path",
                      aRequest.mPath,
                      "a path that starts with / and contains no blanks");
    }
    if (aRequest.mPath.starts_with("/foxtailbarrow/")) {
      AddFieldProblem(
        "request.path",
        aRequest.mPath,
        "a path outside /foxtailbarrow/, which entries do not forward");
    }
  }

  static bool IsTarget(std::string_view aPath)
  {
    return std::ranges::all_of(aPath, [](char aCharacter) {
      return absl::ascii_isgraph(static_cast<unsigned char>(aCharacter));
    });
  }

  void Check(const TraceJob& aJob)
  {
    if (!mJobs.insert(aJob.mId.Value()).second) {
      AddFieldProblem(
        "job.id", aJob.mId.Value(), "an id not used by an earlier line");
    }
    if (aJob.mKind != JobKind::Standing && aJob.mRunMs == 0) {
      AddFieldProblem(
        "job.runMs", "0", "at least 1 unless the kind is standing");
    }
    if (!IsFinal(aJob.mEndState) && aJob.mEndState != JobState::Parked) {
      AddFieldProblem("job.endState",
                      std::string(ToString(aJob.mEndState)),
                      "finished, failed, cancelled, parked");
    }
  }

  void Check(const TraceCancel& aCancel)
  {
    if (!mJobs.contains(aCancel.mJob.Value())) {
      AddFieldProblem("cancel.job",
                      aCancel.mJob.Value(),
                      "the id of a job on an earlier line");
    }
  }

  void Check(const TraceContract& aContract)
  {
    for (const FieldProblem& problem : CheckContract(aContract.mContract)) {
      AddProblem("contract.document." + ToString(problem));
    }
  }

  Trace mTrace;
  std::size_t mNumber = 0;
  std::int64_t mLatestMs = 0;
  absl::flat_hash_set<std::string> mJobs;
  std::vector<std::string> mProblems;
};

} // namespace

absl::StatusOr<Trace> ParseTrace(std::string_view aText)
{
  TraceParser parser;
  while (!aText.empty() && !parser.HasMaxProblems()) {
    const std::size_t end = aText.find('\n');
    parser.ParseLine(aText.substr(0, end));
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
  }
  return parser.Finish();
}

} // namespace foxtailbarrow
