#include "apps/ctl/ContractCommands.h"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

#include "apps/ctl/ReadFile.h"
#include "apps/ctl/TextTable.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/contract/ContractDocument.h"
#include "src/core/message/Codec.h"
#include "src/platform/contract/ContractRegistry.h"

namespace foxtailbarrow::ctl {

namespace {

absl::StatusOr<Contract> ReadContract(const std::string& aPath)
{
  const absl::StatusOr<std::string> text = ReadFile(aPath);
  if (!text.ok()) {
    return text.status();
  }
  return ParseContract(*text);
}

CommandResult InvalidFile(const std::string& aPath, const absl::Status& aStatus)
{
  return Fail(kExitRefused, absl::StrCat(aPath, ": ", aStatus.message()));
}

/// Formats the outcome of a write to a contract.
struct WriteOutcomeFormatter
{
  std::string mContract; ///< "contract of hydro-krakow"
  std::string mDone;     ///< "applied"

  CommandResult operator()(const ContractWritten& aWritten) const
  {
    return WriteSucceeded(
      absl::StrCat(mContract, " ", mDone, " at revision ", aWritten.mRevision),
      mDone,
      aWritten.mRevision);
  }

  CommandResult operator()(const ContractUnchanged& aUnchanged) const
  {
    return WriteSucceeded(absl::StrCat(mContract,
                                       " is already in force since revision ",
                                       aUnchanged.mRevision),
                          "unchanged",
                          aUnchanged.mRevision);
  }

  CommandResult operator()(const ContractConflict& aConflict) const
  {
    CommandResult result =
      Fail(kExitRefused,
           absl::StrCat(mContract,
                        " not ",
                        mDone,
                        ": another operator changed it first; ",
                        StoredRevisionText(aConflict.mFound),
                        ". Check it with contracts show, then retry."));
    result.mJson["revision"] = Json::Int64{ aConflict.mFound };
    return result;
  }

  CommandResult operator()(const ContractUnknown& aUnknown) const
  {
    CommandResult result =
      Fail(kExitUnreachable,
           absl::StrCat(mContract,
                        " may have been ",
                        mDone,
                        ": the store's reply was lost (",
                        aUnknown.mStatus.message(),
                        "). Check it with contracts show before retrying."));
    result.mJson["verdict"] = std::string(ToString(Verdict::MayHaveRun));
    return result;
  }

  CommandResult operator()(const absl::Status& aStatus) const
  {
    return Fail(absl::StrCat(mContract, " not ", mDone), aStatus);
  }

private:
  static CommandResult WriteSucceeded(const std::string& aText,
                                      const std::string& aOutcome,
                                      Revision aRevision)
  {
    Json::Value json(Json::objectValue);
    json["outcome"] = aOutcome;
    json["revision"] = Json::Int64{ aRevision };
    return Succeed(aText + "\n", std::move(json));
  }

  static std::string StoredRevisionText(Revision aRevision)
  {
    return aRevision == 0
             ? "the store holds no such contract"
             : absl::StrCat("the store holds revision ", aRevision);
  }
};

CommandResult ShowOne(ContractRegistry& aRegistry, const CustomerId& aCustomer)
{
  const absl::StatusOr<Contract> contract = aRegistry.Read(aCustomer);
  if (!contract.ok()) {
    return Fail("contract of " + aCustomer.Value(), contract.status());
  }
  return Succeed(absl::StrCat(FormatContract(*contract), "\n"),
                 ToJson(*contract));
}

std::string LimitText(const Resources& aLimit)
{
  return absl::StrCat(
    aLimit.mMillicores, "/", aLimit.mMemoryMb, "/", aLimit.mAccelerators);
}

CommandResult ShowAll(ContractRegistry& aRegistry)
{
  const absl::StatusOr<std::vector<Contract>> contracts = aRegistry.List();
  if (!contracts.ok()) {
    return Fail("contracts", contracts.status());
  }
  TextTable table({ "CUSTOMER",
                    "TEAM",
                    "SERVICE",
                    "COPIES",
                    "CONCURRENCY",
                    "RATE/S",
                    "BURST",
                    "BATCH-MILLICORES/MB/ACCEL",
                    "JOBS",
                    "REVISION" });
  Json::Value json(Json::arrayValue);
  for (const Contract& contract : *contracts) {
    table.Add({ contract.mCustomer.Value(),
                contract.mTeam.Value(),
                contract.mService.Value(),
                absl::StrCat(contract.mMaxCopies),
                absl::StrCat(contract.mMaxConcurrency),
                absl::StrCat(contract.mRequestsPerSecond),
                absl::StrCat(contract.mBurst),
                LimitText(contract.mBatch.mTotal),
                absl::StrCat(contract.mBatch.mMaxRunningJobs),
                absl::StrCat(contract.mRevision) });
    json.append(ToJson(contract));
  }
  return Succeed(table.Text(), std::move(json));
}

} // namespace

CommandResult CheckContractFile(const std::string& aPath)
{
  const absl::StatusOr<Contract> contract = ReadContract(aPath);
  if (!contract.ok()) {
    return InvalidFile(aPath, contract.status());
  }
  Json::Value json(Json::objectValue);
  json["customer"] = contract->mCustomer.Value();
  json["outcome"] = "valid";
  return Succeed(aPath + ": valid contract of " + contract->mCustomer.Value() +
                   "\n",
                 std::move(json));
}

CommandResult ApplyContractFile(Store& aStore,
                                const std::string& aPath,
                                std::optional<Revision> aExpected)
{
  const absl::StatusOr<Contract> contract = ReadContract(aPath);
  if (!contract.ok()) {
    return InvalidFile(aPath, contract.status());
  }
  const WriteOutcomeFormatter formatter{
    "contract of " + contract->mCustomer.Value(), "applied"
  };
  return std::visit(formatter,
                    ContractRegistry(aStore).Apply(*contract, aExpected));
}

CommandResult ShowContracts(Store& aStore,
                            const std::optional<CustomerId>& aCustomer)
{
  ContractRegistry registry(aStore);
  return aCustomer ? ShowOne(registry, *aCustomer) : ShowAll(registry);
}

CommandResult RemoveContract(Store& aStore,
                             const CustomerId& aCustomer,
                             std::optional<Revision> aExpected)
{
  const WriteOutcomeFormatter formatter{ "contract of " + aCustomer.Value(),
                                         "removed" };
  return std::visit(formatter,
                    ContractRegistry(aStore).Remove(aCustomer, aExpected));
}

} // namespace foxtailbarrow::ctl
