#include "src/core/trace/OutcomeCheck.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_format.h"

namespace foxtailbarrow {

namespace {

OutcomeRow CountOnly(std::string aName, std::int64_t aCount)
{
  return { std::move(aName), std::to_string(aCount), "", true };
}

OutcomeRow ExpectAtMost(std::string aName,
                        std::int64_t aCount,
                        std::int64_t aLimit)
{
  return { std::move(aName),
           std::to_string(aCount),
           absl::StrFormat("<= %d", aLimit),
           aCount <= aLimit };
}

OutcomeRow ExpectZero(std::string aName, std::int64_t aCount)
{
  return ExpectAtMost(std::move(aName), aCount, 0);
}

/// As ExpectZero(), for a count that requires the audit of the stand-ins.
OutcomeRow ExpectZeroAudited(std::string aName,
                             std::int64_t aCount,
                             const ReplayTotals& aTotals)
{
  if (!aTotals.mAudited) {
    return { std::move(aName), "not checked", "", true };
  }
  return ExpectZero(std::move(aName), aCount);
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

OutcomeRow ExpectLatencyAtMost(std::string aName,
                               Duration aLatency,
                               double aLimitMs)
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

OutcomeRow ExpectShareAtLeast(std::string aName,
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
  return ExpectShareAtLeast(
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
  return ExpectShareAtLeast("jobs ended as stated",
                            aTotals.mJobsAsExpected,
                            share,
                            aExpected.mMinJobsAsExpected);
}

} // namespace

std::vector<OutcomeRow> CheckOutcomes(const ExpectedOutcomes& aExpected,
                                      const ReplayTotals& aTotals)
{
  std::vector<OutcomeRow> rows = {
    CountOnly("requests", aTotals.mRequests),
    AnsweredRow(aExpected, aTotals),
    NotRunRow(aExpected, aTotals),
    CountOnly("requests told may have run", aTotals.mMayHaveRun),
    CountOnly("requests failed by backend servers", aTotals.mErrors),
    CountOnly("retries", aTotals.mRetries),
    ExpectZero("requests unanswered", aTotals.mUnanswered),
    ExpectZero("wrong answers", aTotals.mWrongAnswers),
    ExpectZeroAudited("told wrongly", aTotals.mRanDespiteNotRun, aTotals),
    Latency("latency p50 (ms)", aTotals.mP50),
    ExpectLatencyAtMost("latency p99 (ms)", aTotals.mP99, aExpected.mMaxP99Ms),
    Latency("latency p99.9 (ms)", aTotals.mP999),
    CountOnly("contracts applied", aTotals.mContracts),
    CountOnly("jobs accepted", aTotals.mJobs),
    CountOnly("jobs refused", aTotals.mJobsRefused),
    JobsRow(aExpected, aTotals),
    ExpectAtMost("evictions", aTotals.mEvictions, aExpected.mMaxEvictions),
    ExpectZeroAudited("lost requests", aTotals.mLostRequests, aTotals),
    ExpectZero("lost jobs", aTotals.mLostJobs),
    ExpectZeroAudited("doubled requests", aTotals.mRepeatedRequests, aTotals),
    ExpectZeroAudited("doubled jobs", aTotals.mOverlappingJobs, aTotals),
    ExpectZeroAudited(
      "workers over-committed", aTotals.mOvercommitted, aTotals),
  };
  for (const auto& [reason, count] : aTotals.mRefusals) {
    rows.push_back(CountOnly("attempts refused: " + reason, count));
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
