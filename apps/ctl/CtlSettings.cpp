#include "apps/ctl/CtlSettings.h"

#include <ostream>
#include <utility>

#include "absl/strings/numbers.h"

#include "src/telemetry/Settings.h"

namespace foxtailbarrow::ctl {

namespace {

constexpr std::int64_t kMaxAmount = 1'000'000'000;
constexpr char kFileAllowed[] = "a readable file";
constexpr char kJobAllowed[] = "id of a job, as printed when it was accepted";
constexpr char kStoreHelp[] = "addresses of the platform's store";
constexpr char kEntryHelp[] =
  "control addresses of entries; any of them can answer";

/// The tree of subcommands and the variables that their flags set.
class CommandLine
{
public:
  CommandLine()
  {
    mSettings.AddSwitch(
      "--json", mValues.mJson, "print JSON instead of tables");
    mSettings.AddMilliseconds(
      "--timeout-ms",
      mValues.mTimeout,
      { std::chrono::milliseconds(10), std::chrono::minutes(10) },
      "time for each call");
    AddContracts();
    AddJobs();
    AddFleet();
  }

  std::variant<CtlSettings, int> Parse(std::vector<std::string> aArguments,
                                       std::ostream& aOut,
                                       std::ostream& aErr)
  {
    if (const std::optional<int> exitCode =
          mSettings.Parse(std::move(aArguments), aOut, aErr)) {
      return *exitCode;
    }
    for (const auto& [settings, makeCommand] : mCommands) {
      if (settings->Chosen()) {
        mValues.mCommand = makeCommand();
      }
    }
    if (const char* error = SubmitError()) {
      aErr << "foxtailbarrow-ctl: jobs submit: " << error << "\n";
      return kExitUsage;
    }
    return std::move(mValues);
  }

private:
  using MakeCommand = std::function<Command()>;

  Settings& Add(Settings& aParent,
                std::string_view aName,
                std::string_view aHelp,
                MakeCommand aMakeCommand)
  {
    Settings& settings = aParent.AddSubcommand(aName, aHelp);
    mCommands.emplace_back(&settings, std::move(aMakeCommand));
    return settings;
  }

  void AddContracts()
  {
    Settings& group =
      mSettings.AddSubcommand("contracts", "the customers' contracts");
    Settings& check = Add(group, "check", "check a file", [this] {
      return ContractsCheck{ mFile };
    });
    check.AddPositional("FILE", mFile, kFileAllowed).Required();
    Settings& apply =
      Add(group, "apply", "apply the contract in a file", [this] {
        return ContractsApply{ mFile, mExpected };
      });
    apply.AddPositional("FILE", mFile, kFileAllowed).Required();
    AddExpected(apply);
    AddStore(apply);
    Settings& show = Add(group, "show", "show one or all", [this] {
      return ContractsShow{ mCustomer.Empty() ? std::nullopt
                                              : std::optional(mCustomer) };
    });
    AddCustomerPositional(show);
    AddStore(show);
    Settings& remove = Add(group, "remove", "remove a contract", [this] {
      return ContractsRemove{ mCustomer, mExpected };
    });
    AddCustomerPositional(remove).Required();
    AddExpected(remove);
    AddStore(remove);
  }

  void AddJobs()
  {
    Settings& group =
      mSettings.AddSubcommand("jobs", "batch and standing jobs");
    AddSubmit(group);
    Settings& list = Add(group, "list", "list jobs", [this] {
      return JobsList{ mCustomer.Value(), mState };
    });
    list.AddId("--customer", mCustomer, "jobs of this customer only");
    list.AddChoice("--state",
                   mState,
                   { "queued",
                     "assigned",
                     "suspended",
                     "parked",
                     "finished",
                     "failed",
                     "cancelled" },
                   "jobs in this state only");
    AddEntries(list);
    Settings& explain =
      Add(group, "explain", "show the reasons for a job's state", [this] {
        return JobsExplain{ mJob };
      });
    explain.AddPositional("ID", mJob, kJobAllowed).Required();
    AddEntries(explain);
    Settings& cancel = Add(group, "cancel", "stop a job permanently", [this] {
      return JobsCancel{ mJob };
    });
    cancel.AddPositional("ID", mJob, kJobAllowed).Required();
    AddEntries(cancel);
  }

  void AddSubmit(Settings& aGroup)
  {
    Settings& submit =
      Add(aGroup, "submit", "submit a job from a file or from flags", [this] {
        mSubmit.mSpec.mCustomer = mCustomer;
        return mSubmit;
      });
    JobSpec& spec = mSubmit.mSpec;
    submit.AddPositional("FILE", mSubmit.mFile, kFileAllowed);
    submit.AddId("--customer", mCustomer, "customer of the job");
    AddKindAndPriority(submit);
    submit.AddCount("--millicores",
                    spec.mDeclared.mMillicores,
                    { 0, kMaxAmount },
                    "processors, in thousandths of a core");
    submit.AddCount("--memory-mb",
                    spec.mDeclared.mMemoryMb,
                    { 0, kMaxAmount },
                    "memory, in MiB");
    submit.AddCount("--accelerators",
                    spec.mDeclared.mAccelerators,
                    { 0, kMaxAmount },
                    "whole accelerators");
    submit.AddMilliseconds("--run-time-ms",
                           spec.mDeclaredRunTime,
                           { Duration{}, std::chrono::hours(24 * 365) },
                           "declared run time");
    submit.AddText("--program", spec.mProgram, "name of the program");
    submit.AddText("--arguments", spec.mArguments, "the program's arguments");
    submit.AddText("--idempotency-key",
                   mSubmit.mIdempotencyKey,
                   "identifies the job if it is submitted again");
    AddEntries(submit);
  }

  void AddKindAndPriority(Settings& aSettings)
  {
    JobSpec& spec = mSubmit.mSpec;
    aSettings.Add(
      "--kind",
      "kind of the job",
      "batch, exclusive, standing",
      [&spec](std::string_view aText) {
        const std::optional<JobKind> kind = ParseJobKind(aText);
        spec.mKind = kind.value_or(spec.mKind);
        return kind.has_value();
      },
      ToString(spec.mKind));
    aSettings.Add(
      "--priority",
      "urgent jobs start first",
      "normal, urgent",
      [&spec](std::string_view aText) {
        const std::optional<JobPriority> priority = ParseJobPriority(aText);
        spec.mPriority = priority.value_or(spec.mPriority);
        return priority.has_value();
      },
      ToString(spec.mPriority));
  }

  void AddFleet()
  {
    Settings& servers =
      mSettings.AddSubcommand("servers", "the backend servers");
    AddEntries(Add(servers, "list", "list them", [] { return ServersList{}; }));
    Settings& workers = mSettings.AddSubcommand("workers", "the workers");
    AddEntries(Add(workers, "list", "list them", [] { return WorkersList{}; }));
    Settings& state =
      Add(mSettings, "state", "the state dump of a process", [this] {
        return StateShow{ mProcess };
      });
    state
      .AddPositional("ENDPOINT",
                     "control address of a process, as in 127.0.0.1:8080",
                     [this](std::string_view aText) {
                       const auto endpoint = ParseEndpoint(aText);
                       mProcess = endpoint.value_or(mProcess);
                       return endpoint.has_value();
                     })
      .Required();
  }

  Setting AddCustomerPositional(Settings& aSettings)
  {
    return aSettings.AddPositional(
      "CUSTOMER", kIdTextAllowed, [this](std::string_view aText) {
        mCustomer = CustomerId(std::string(aText));
        return IsIdText(aText);
      });
  }

  void AddExpected(Settings& aSettings)
  {
    aSettings.Add("--expect-revision",
                  "fail unless the store holds this revision",
                  "a whole number from 0; 0 = no such contract",
                  [this](std::string_view aText) {
                    Revision revision = 0;
                    if (!absl::SimpleAtoi(std::string(aText), &revision) ||
                        revision < 0) {
                      return false;
                    }
                    mExpected = revision;
                    return true;
                  });
  }

  void AddStore(Settings& aSettings)
  {
    aSettings.AddEndpoints("--store", mValues.mStore, kStoreHelp).Required();
  }

  void AddEntries(Settings& aSettings)
  {
    aSettings.AddEndpoints("--entry", mValues.mEntries, kEntryHelp).Required();
  }

  /// Error message if the flags of a submission are incomplete or contradict
  /// each other; null otherwise.
  const char* SubmitError() const
  {
    const auto* submit = std::get_if<JobsSubmit>(&mValues.mCommand);
    if (submit == nullptr) {
      return nullptr;
    }
    const bool hasFlags =
      !submit->mSpec.mCustomer.Empty() || !submit->mSpec.mProgram.empty();
    if (!submit->mFile.empty() && hasFlags) {
      return "FILE and --customer or --program given; allowed: either FILE or "
             "flags";
    }
    if (submit->mFile.empty() && submit->mSpec.mCustomer.Empty()) {
      return "--customer: missing; allowed: an id, or FILE in place of flags";
    }
    if (submit->mFile.empty() && submit->mSpec.mProgram.empty()) {
      return "--program: missing; allowed: a name, or FILE in place of flags";
    }
    return nullptr;
  }

  Settings mSettings{ "foxtailbarrow-ctl",
                      "Operators' tool: contracts, jobs, state." };
  std::vector<std::pair<Settings*, MakeCommand>> mCommands;
  CtlSettings mValues;
  std::string mFile;
  std::optional<Revision> mExpected;
  CustomerId mCustomer;
  JobsSubmit mSubmit;
  std::string mState;
  std::string mJob;
  Endpoint mProcess;
};

} // namespace

std::variant<CtlSettings, int> ParseCtlSettings(
  std::vector<std::string> aArguments,
  std::ostream& aOut,
  std::ostream& aErr)
{
  return CommandLine().Parse(std::move(aArguments), aOut, aErr);
}

} // namespace foxtailbarrow::ctl
