#include "src/core/cell/OwnerLoad.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow::cell {

namespace {

constexpr EnumText<OwnerWork, kOwnerWorks> kWorks({
  { OwnerWork::Text, "text" },
  { OwnerWork::Reports, "reports" },
  { OwnerWork::Rounds, "rounds" },
  { OwnerWork::Records, "records" },
  { OwnerWork::Logs, "logs" },
});

constexpr EnumText<OwnerWait, kOwnerWaits> kWaits({
  { OwnerWait::Loop, "loop" },
  { OwnerWait::Report, "report" },
  { OwnerWait::Order, "order" },
  { OwnerWait::Record, "record" },
});

std::int64_t Thousandths(Duration aPart, Duration aWhole)
{
  constexpr std::int64_t kThousand = 1000;
  return aPart.count() * kThousand / std::max<std::int64_t>(1, aWhole.count());
}

} // namespace

std::string_view ToString(OwnerWork aWork)
{
  return kWorks.Text(aWork);
}

std::string_view ToString(OwnerWait aWait)
{
  return kWaits.Text(aWait);
}

std::string SharesText(const OwnerLoadSummary& aSummary)
{
  std::string text;
  Duration known{};
  for (std::size_t i = 0; i < kOwnerWorks; ++i) {
    const auto work = static_cast<OwnerWork>(i);
    const Duration spent = aSummary.Spent(work);
    // Log lines are written during the other kinds of work.
    known += work == OwnerWork::Logs ? Duration::zero() : spent;
    absl::StrAppend(&text,
                    std::string(ToString(work)),
                    "=",
                    Thousandths(spent, aSummary.mInterval),
                    " ");
  }
  const Duration rest = std::max(Duration::zero(), aSummary.mProcessor - known);
  absl::StrAppend(&text,
                  "rest=",
                  Thousandths(rest, aSummary.mInterval),
                  " all=",
                  Thousandths(aSummary.mProcessor, aSummary.mInterval));
  return text;
}

std::string WaitsText(const OwnerLoadSummary& aSummary)
{
  std::string text;
  for (std::size_t i = 0; i < kOwnerWaits; ++i) {
    const auto wait = static_cast<OwnerWait>(i);
    const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(
      aSummary.Longest(wait));
    absl::StrAppend(&text,
                    text.empty() ? "" : " ",
                    std::string(ToString(wait)),
                    "=",
                    longest.count());
  }
  return text;
}

std::optional<OwnerLoadSummary> OwnerLoad::TakeSummary(Instant aNow,
                                                       Duration aProcessor)
{
  if (aNow - mSince < kInterval) {
    return std::nullopt;
  }
  const bool first = mSince == Instant{};
  OwnerLoadSummary summary = std::exchange(mSummary, {});
  summary.mInterval = aNow - std::exchange(mSince, aNow);
  summary.mProcessor = aProcessor - std::exchange(mProcessorBefore, aProcessor);
  return first ? std::nullopt : std::optional(summary);
}

} // namespace foxtailbarrow::cell
