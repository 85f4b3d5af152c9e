#include "apps/replay/ReplaySettings.h"

#include <limits>

#include "src/telemetry/Settings.h"

namespace foxtailbarrow::replay {

namespace {

constexpr std::int64_t kMaxThreads = 64;
constexpr std::int64_t kMaxRetries = 20;
constexpr std::int64_t kMaxSeed = std::numeric_limits<std::int64_t>::max();

void AddRunFlags(Settings& aSettings, RunSettings& aRun)
{
  using std::chrono::hours;
  using std::chrono::milliseconds;
  aSettings.AddPositional("TRACE", aRun.mTrace, "a readable trace file")
    .Required();
  aSettings
    .AddEndpoints("--entries", aRun.mEntries, "callers' addresses of entries")
    .Required();
  aSettings.AddEndpoints(
    "--store", aRun.mStore, "the store; required when the trace has contracts");
  aSettings.AddEndpoints("--backends",
                         aRun.mBackends,
                         "backend stand-ins to audit after the replay");
  aSettings.AddEndpoints(
    "--workers", aRun.mWorkers, "worker stand-ins to audit after the replay");
  aSettings.AddCount("--threads", aRun.mThreads, { 1, kMaxThreads }, "threads");
  aSettings.AddCount("--max-retries",
                     aRun.mMaxRetries,
                     { 0, kMaxRetries },
                     "retries of requests that did not run");
  aSettings.AddMilliseconds("--ready-timeout-ms",
                            aRun.mReadyTimeout,
                            { milliseconds(0), hours(1) },
                            "how long to wait until each customer is served");
  aSettings.AddMilliseconds("--progress-ms",
                            aRun.mProgress,
                            { milliseconds(100), hours(1) },
                            "time between progress lines");
}

void AddGenerateFlags(Settings& aSettings, GenerateSettings& aGenerate)
{
  aSettings
    .AddChoice("--deployment",
               aGenerate.mDeployment,
               { "trasowka", "qoima" },
               "deployment that the trace simulates")
    .Required();
  aSettings.AddCount("--seed",
                     aGenerate.mSeed,
                     { 0, kMaxSeed },
                     "seed; equal seeds give equal traces");
  aSettings.AddText("--out", aGenerate.mOut, "file to write").Required();
  aSettings.AddText("--contracts",
                    aGenerate.mContracts,
                    "folder for the contracts, one per file");
}

} // namespace

std::variant<ReplaySettings, int> ParseReplaySettings(
  std::vector<std::string> aArguments,
  std::ostream& aOut,
  std::ostream& aErr)
{
  Settings settings("foxtailbarrow-replay",
                    "Replays a trace against a running system.");
  RunSettings run;
  GenerateSettings generate;
  Settings& runCommand = settings.AddSubcommand(
    "run", "replay a trace; exit code 1 when an expected outcome is missed");
  AddRunFlags(runCommand, run);
  AddGenerateFlags(settings.AddSubcommand("generate", "write a trace"),
                   generate);
  if (const std::optional<int> exitCode =
        settings.Parse(std::move(aArguments), aOut, aErr)) {
    return *exitCode;
  }
  if (runCommand.Chosen()) {
    return ReplaySettings(std::move(run));
  }
  return ReplaySettings(std::move(generate));
}

} // namespace foxtailbarrow::replay
