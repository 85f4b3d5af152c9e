#include "apps/ctl/CommandRunner.h"

#include "absl/random/random.h"
#include "absl/strings/str_cat.h"

#include "apps/ctl/ContractCommands.h"
#include "apps/ctl/EntryCaller.h"
#include "apps/ctl/FleetCommands.h"
#include "apps/ctl/JobCommands.h"
#include "apps/ctl/ReadFile.h"
#include "src/platform/store/EtcdStore.h"

namespace foxtailbarrow::ctl {

namespace {

std::string RandomKey()
{
  absl::BitGen random;
  return absl::StrCat(
    "ctl-", absl::Hex(absl::Uniform<std::uint64_t>(random), absl::kZeroPad16));
}

class CommandRunner
{
public:
  CommandRunner(net::FiberRuntime& aRuntime, const CtlSettings& aSettings)
    : mSettings(aSettings)
    , mClient(aRuntime)
    , mStore(aRuntime, StoreSettings(aSettings))
  {
  }

  CommandResult operator()(const ContractsCheck& aCommand)
  {
    return CheckContractFile(aCommand.mFile);
  }

  CommandResult operator()(const ContractsApply& aCommand)
  {
    return ApplyContractFile(mStore, aCommand.mFile, aCommand.mExpected);
  }

  CommandResult operator()(const ContractsShow& aCommand)
  {
    return ShowContracts(mStore, aCommand.mCustomer);
  }

  CommandResult operator()(const ContractsRemove& aCommand)
  {
    return RemoveContract(mStore, aCommand.mCustomer, aCommand.mExpected);
  }

  CommandResult operator()(const JobsSubmit& aCommand)
  {
    const std::string key =
      aCommand.mIdempotencyKey.empty() ? RandomKey() : aCommand.mIdempotencyKey;
    if (aCommand.mFile.empty()) {
      return SubmitJob(Entries(), SubmissionBody(aCommand.mSpec), key);
    }
    const absl::StatusOr<std::string> body = ReadFile(aCommand.mFile);
    return body.ok() ? SubmitJob(Entries(), *body, key)
                     : Fail(aCommand.mFile, body.status());
  }

  CommandResult operator()(const JobsList& aCommand)
  {
    return ListJobs(Entries(), aCommand.mCustomer, aCommand.mState);
  }

  CommandResult operator()(const JobsExplain& aCommand)
  {
    return ExplainJob(Entries(), aCommand.mJob);
  }

  CommandResult operator()(const JobsCancel& aCommand)
  {
    return CancelJob(Entries(), aCommand.mJob);
  }

  CommandResult operator()(const ServersList&)
  {
    return ListServers(Entries());
  }

  CommandResult operator()(const WorkersList&)
  {
    return ListWorkers(Entries());
  }

  CommandResult operator()(const StateShow& aCommand)
  {
    return DumpState(Caller({ aCommand.mProcess }));
  }

private:
  static EtcdSettings StoreSettings(const CtlSettings& aSettings)
  {
    EtcdSettings settings;
    settings.mEndpoints = aSettings.mStore;
    settings.mCallTimeout = aSettings.mTimeout;
    return settings;
  }

  CallEntry Entries() { return Caller(mSettings.mEntries); }

  CallEntry Caller(const std::vector<Endpoint>& aEndpoints)
  {
    return
      [this, aEndpoints](const net::HttpRequest& aRequest, bool aRepeatable) {
        return EntryCaller(mClient, aEndpoints, mSettings.mTimeout)
          .Call(aRequest, aRepeatable);
      };
  }

  const CtlSettings& mSettings;
  net::HttpClient mClient;
  EtcdStore mStore;
};

} // namespace

CommandResult RunCommand(net::FiberRuntime& aRuntime,
                         const CtlSettings& aSettings)
{
  CommandRunner runner(aRuntime, aSettings);
  return std::visit(runner, aSettings.mCommand);
}

} // namespace foxtailbarrow::ctl
