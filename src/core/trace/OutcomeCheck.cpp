#include "src/core/trace/OutcomeCheck.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"

namespace foxtailbarrow {

namespace {

OutcomeRow Told(std::string aName, std::int64_t aCount)
{
  return { std::move(aName), std::to_string(aCount), "", true };
}

OutcomeRow AtMost(std::string aName, std::int64_t aCount, std::int64_t aLimit)
{
  return { std::move(aName),
           std::to_string(aCount),
           absl::StrFormat("<= %d", aLimit),
           aCount <= aLimit };
}

OutcomeRow Never(std::string aName, std::int64_t aCount)
{
  return AtMost(std::move(aName), aCount, 0);
}

/// As Never(), of something that only the stand-ins can tell.
OutcomeRow NeverAudited(std::string aName,
                        std::int64_t aCount,
                        const ReplayTotals& aTotals)
{
  if (!aTotals.mAudited) {
    return { std::move(aName), "not checked", "", true };
  }
  return Never(std::move(aName), aCount);
}

double Milliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

OutcomeRow Latency(std::string aName, Duration aLatency)
{
  return {
    std::move(aName), absl::StrFormat("%.2f", Milliseconds(aLatency)), "", true
  };
}

OutcomeRow LatencyAtMost(std::string aName, Duration aLatency, double aLimitMs)
{
  OutcomeRow row = Latency(std::move(aName), aLatency);
  row.mExpected = absl::StrFormat("<= %.2f", aLimitMs);
  row.mMet = Milliseconds(aLatency) <= aLimitMs;
  return row;
}

double Share(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole == 0 ? 0.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

std::string CountAndShare(std::int64_t aCount, double aShare)
{
  return absl::StrFormat("%d (%.2f%%)", aCount, 100.0 * aShare);
}

OutcomeRow ShareAtLeast(std::string aName,
                        std::int64_t aCount,
                        double aShare,
                        double aLimit)
{
  return { std::move(aName),
           CountAndShare(aCount, aShare),
           absl::StrFormat(">= %.2f%%", 100.0 * aLimit),
           aShare >= aLimit };
}

OutcomeRow AnsweredRow(const ExpectedOutcomes& aExpected,
                       const ReplayTotals& aTotals)
{
  const double share =
    aTotals.mRequests == 0 ? 1.0 : Share(aTotals.mAnswered, aTotals.mRequests);
  return ShareAtLeast(
    "requests answered", aTotals.mAnswered, share, aExpected.mMinAnswered);
}

OutcomeRow NotRunRow(const ExpectedOutcomes& aExpected,
                     const ReplayTotals& aTotals)
{
  const double share = Share(aTotals.mNotRun, aTotals.mRequests);
  return { "requests told not run",
           CountAndShare(aTotals.mNotRun, share),
           absl::StrFormat("<= %.2f%%", 100.0 * aExpected.mMaxNotRunShare),
           share <= aExpected.mMaxNotRunShare };
}

OutcomeRow JobsRow(const ExpectedOutcomes& aExpected,
                   const ReplayTotals& aTotals)
{
  const std::int64_t submitted = aTotals.mJobs + aTotals.mJobsRefused;
  const double share =
    submitted == 0 ? 1.0 : Share(aTotals.mJobsAsExpected, submitted);
  return ShareAtLeast("jobs ended as stated",
                      aTotals.mJobsAsExpected,
                      share,
                      aExpected.mMinJobsAsExpected);
}

} // namespace

std::vector<OutcomeRow> CheckOutcomes(const ExpectedOutcomes& aExpected,
                                      const ReplayTotals& aTotals)
{
  std::vector<OutcomeRow> rows = {
    Told("requests", aTotals.mRequests),
    AnsweredRow(aExpected, aTotals),
    NotRunRow(aExpected, aTotals),
    Told("requests told may have run", aTotals.mMayHaveRun),
    Told("requests failed by backend servers", aTotals.mErrors),
    Told("retries", aTotals.mRetries),
    Never("requests unanswered", aTotals.mUnanswered),
    Never("wrong answers", aTotals.mWrongAnswers),
    NeverAudited("told wrongly", aTotals.mRanDespiteNotRun, aTotals),
    Latency("latency p50 (ms)", aTotals.mP50),
    LatencyAtMost("latency p99 (ms)", aTotals.mP99, aExpected.mMaxP99Ms),
    Latency("latency p99.9 (ms)", aTotals.mP999),
    Told("contracts applied", aTotals.mContracts),
    Told("jobs accepted", aTotals.mJobs),
    Told("jobs refused", aTotals.mJobsRefused),
    JobsRow(aExpected, aTotals),
    AtMost("evictions", aTotals.mEvictions, aExpected.mMaxEvictions),
    NeverAudited("lost requests", aTotals.mLostRequests, aTotals),
    Never("lost jobs", aTotals.mLostJobs),
    NeverAudited("doubled requests", aTotals.mRepeatedRequests, aTotals),
    NeverAudited("doubled jobs", aTotals.mOverlappingJobs, aTotals),
    NeverAudited("workers over-committed", aTotals.mOvercommitted, aTotals),
  };
  for (const auto& [reason, count] : aTotals.mRefusals) {
    rows.push_back(Told("attempts refused: " + reason, count));
  }
  return rows;
}

bool AllMet(std::span<const OutcomeRow> aRows)
{
  return std::ranges::all_of(aRows, &OutcomeRow::mMet);
}

std::string FormatOutcomes(std::span<const OutcomeRow> aRows)
{
  std::size_t nameWidth = 0;
  for (const OutcomeRow& row : aRows) {
    nameWidth = std::max(nameWidth, row.mName.size());
  }
  std::string text;
  for (const OutcomeRow& row : aRows) {
    const char* verdict =
      row.mExpected.empty() ? "" : (row.mMet ? "met" : "MISSED");
    absl::StrAppendFormat(&text,
                          "%-*s  %14s  %14s  %s\n",
                          static_cast<int>(nameWidth),
                          row.mName,
                          row.mMeasured,
                          row.mExpected,
                          verdict);
    absl::StripTrailingAsciiWhitespace(&text);
    text += '\n';
  }
  return text;
}

} // namespace foxtailbarrow
