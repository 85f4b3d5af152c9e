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
    "--store", aRun.mStore, "the store; needed when the trace has contracts");
  aSettings.AddEndpoints("--backends",
                         aRun.mBackends,
                         "backend stand-ins, asked afterwards what ran");
  aSettings.AddEndpoints(
    "--workers", aRun.mWorkers, "worker stand-ins, asked afterwards what ran");
  aSettings.AddCount("--threads", aRun.mThreads, { 1, kMaxThreads }, "threads");
  aSettings.AddCount("--max-retries",
                     aRun.mMaxRetries,
                     { 0, kMaxRetries },
                     "attempts after the first, for what did not run");
  aSettings.AddMilliseconds("--ready-timeout-ms",
                            aRun.mReadyTimeout,
                            { milliseconds(0), hours(1) },
                            "how long to wait until each customer is served");
  aSettings.AddMilliseconds("--progress-ms",
                            aRun.mProgress,
                            { milliseconds(100), hours(1) },
                            "time between lines of progress");
}

void AddGenerateFlags(Settings& aSettings, GenerateSettings& aGenerate)
{
  aSettings
    .AddChoice("--deployment",
               aGenerate.mDeployment,
               { "trasowka", "qoima" },
               "whose shape the trace has")
    .Required();
  aSettings.AddCount(
    "--seed", aGenerate.mSeed, { 0, kMaxSeed }, "equal seeds, equal traces");
  aSettings.AddText("--out", aGenerate.mOut, "file to write").Required();
  aSettings.AddText("--contracts",
                    aGenerate.mContracts,
                    "folder for the contracts, one a file");
}

} // namespace

std::variant<ReplaySettings, int> ParseReplaySettings(
  std::vector<std::string> aArguments,
  std::ostream& aOut,
  std::ostream& aErr)
{
  Settings settings("foxtailbarrow-replay",
                    "Drives a trace against a running system.");
  RunSettings run;
  GenerateSettings generate;
  Settings& runCommand = settings.AddSubcommand(
    "run", "replay a trace; exit code 1 when a stated outcome is missed");
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
