#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "absl/strings/str_cat.h"

#include "apps/replay/GenerateCommand.h"
#include "apps/replay/ReplayRun.h"
#include "apps/replay/ReplaySettings.h"
#include "src/core/trace/OutcomeCheck.h"
#include "src/platform/store/EtcdStore.h"
#include "src/telemetry/Settings.h"

using namespace foxtailbarrow;

namespace {

constexpr int kExitMissed = 1;
constexpr int kExitFailed = 3;

int ReportError(int aExitCode, const absl::Status& aStatus)
{
  std::cerr << "foxtailbarrow-replay: " << aStatus.message() << "\n";
  return aExitCode;
}

absl::StatusOr<Trace> ReadTrace(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return absl::NotFoundError(absl::StrCat(aPath, ": cannot be read"));
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  absl::StatusOr<Trace> trace = ParseTrace(text);
  if (!trace.ok()) {
    return absl::InvalidArgumentError(
      absl::StrCat(aPath, ":\n", trace.status().message()));
  }
  return trace;
}

bool HasContracts(const Trace& aTrace)
{
  return std::ranges::any_of(aTrace.mEvents, [](const TraceEvent& aEvent) {
    return std::holds_alternative<TraceContract>(aEvent);
  });
}

int PrintOutcomes(const Trace& aTrace, const ReplayTotals& aTotals)
{
  const std::vector<OutcomeRow> rows =
    CheckOutcomes(aTrace.mHeader.mOutcomes, aTotals);
  std::cout << FormatOutcomes(rows) << std::flush;
  return AllMet(rows) ? EXIT_SUCCESS : kExitMissed;
}

struct Runner
{
  int operator()(const replay::GenerateSettings& aSettings) const
  {
    const absl::Status status = replay::Generate(aSettings);
    return status.ok() ? EXIT_SUCCESS : ReportError(kExitFailed, status);
  }

  int operator()(const replay::RunSettings& aSettings) const
  {
    const absl::StatusOr<Trace> trace = ReadTrace(aSettings.mTrace);
    if (!trace.ok()) {
      return ReportError(kExitUsage, trace.status());
    }
    if (HasContracts(*trace) && aSettings.mStore.empty()) {
      return ReportError(kExitUsage,
                         absl::InvalidArgumentError(
                           "--store (FOXTAILBARROW_STORE): missing; allowed: "
                           "addresses of the store, required by the trace's "
                           "contracts"));
    }
    net::FiberRuntime runtime(aSettings.mThreads);
    std::optional<EtcdStore> store;
    if (!aSettings.mStore.empty()) {
      EtcdSettings settings;
      settings.mEndpoints = aSettings.mStore;
      store.emplace(runtime, settings);
    }
    replay::ReplayRun run(
      runtime, aSettings, *trace, store ? &*store : nullptr);
    absl::StatusOr<ReplayTotals> totals;
    runtime.RunAndWait([&] { totals = run.Run(); });
    // Fibers must not outlive `run`.
    runtime.Stop();
    return totals.ok() ? PrintOutcomes(*trace, *totals)
                       : ReportError(kExitFailed, totals.status());
  }
};

} // namespace

int main(int argc, char** argv)
{
  const auto settings = replay::ParseReplaySettings(
    { argv + 1, argv + argc }, std::cout, std::cerr);
  if (const int* exitCode = std::get_if<int>(&settings)) {
    return *exitCode;
  }
  return std::visit(Runner{}, std::get<replay::ReplaySettings>(settings));
}
