#include "apps/ctl/ContractCommands.h"

#include <fstream>

#include <unistd.h>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/core/contract/ContractDocument.h"
#include "src/platform/contract/ContractRegistry.h"
#include "src/platform/store/MemoryStore.h"

namespace foxtailbarrow::ctl {
namespace {

using testing::HasSubstr;

constexpr char kKey[] = "/foxtailbarrow/contracts/hydro";

Contract MakeContract(std::int32_t aMaxCopies)
{
  Contract contract;
  contract.mCustomer = CustomerId("hydro");
  contract.mTeam = TeamId("plumbers");
  contract.mService = ServiceId("mileage-log");
  contract.mMaxCopies = aMaxCopies;
  contract.mMaxConcurrency = 10;
  contract.mRequestsPerSecond = 20;
  contract.mBurst = 5;
  return contract;
}

/// The file name contains the process id, since tests run in parallel.
std::string WriteFile(const std::string& aText)
{
  const std::string path =
    testing::TempDir() + "contract-" + std::to_string(getpid()) + ".json";
  std::ofstream(path) << aText;
  return path;
}

class ContractCommands : public testing::Test
{
protected:
  CommandResult Apply(std::int32_t aMaxCopies,
                      std::optional<Revision> aExpected = std::nullopt)
  {
    return ApplyContractFile(
      mStore, WriteFile(FormatContract(MakeContract(aMaxCopies))), aExpected);
  }

  Contract Stored()
  {
    return *ContractRegistry(mStore).Read(CustomerId("hydro"));
  }

  /// Its clock is stopped, so that its rate limits never refill.
  MemoryStore mStore{ [] { return Instant(); } };
};

TEST_F(ContractCommands, PutAFileInForceAndShowIt)
{
  EXPECT_EQ(Apply(4).mExitCode, kExitOk);
  const CommandResult all = ShowContracts(mStore, std::nullopt);
  EXPECT_THAT(all.mText, HasSubstr("hydro"));
  const CommandResult one = ShowContracts(mStore, CustomerId("hydro"));
  EXPECT_EQ(one.mJson["maxCopies"].asInt(), 4);
  EXPECT_EQ(one.mJson["revision"].asInt64(), Stored().mRevision);
}

TEST_F(ContractCommands, WriteNothingWhenNothingChanges)
{
  Apply(4);
  const Revision before = Stored().mRevision;
  const CommandResult result = Apply(4);
  EXPECT_EQ(result.mExitCode, kExitOk);
  EXPECT_EQ(result.mJson["outcome"], "unchanged");
  EXPECT_EQ(Stored().mRevision, before);
}

TEST_F(ContractCommands, RefuseAnotherRevisionThanExpected)
{
  Apply(4);
  const Revision first = Stored().mRevision;
  Apply(5, first);
  const CommandResult late = Apply(6, first);
  EXPECT_EQ(late.mExitCode, kExitRefused);
  EXPECT_THAT(late.mText, HasSubstr("another operator changed it first"));
  EXPECT_EQ(late.mJson["revision"].asInt64(), Stored().mRevision);
  EXPECT_EQ(Stored().mMaxCopies, 5);
  EXPECT_EQ(Apply(7, 0).mExitCode, kExitRefused);
  EXPECT_EQ(RemoveContract(mStore, CustomerId("hydro"), first).mExitCode,
            kExitRefused);
}

TEST_F(ContractCommands, Remove)
{
  Apply(4);
  EXPECT_EQ(RemoveContract(mStore, CustomerId("hydro"), std::nullopt).mExitCode,
            kExitOk);
  const CommandResult again =
    RemoveContract(mStore, CustomerId("hydro"), std::nullopt);
  EXPECT_EQ(again.mExitCode, kExitRefused);
  EXPECT_THAT(again.mText, HasSubstr("no such contract"));
  EXPECT_EQ(ShowContracts(mStore, CustomerId("hydro")).mExitCode, kExitRefused);
}

TEST_F(ContractCommands, ResolveALostReplyByReadingBack)
{
  mStore.SetFaults({ .mLoseReplies = 1 });
  EXPECT_EQ(Apply(4).mExitCode, kExitOk);
  mStore.SetFaults({ .mLoseReplies = 1 });
  EXPECT_EQ(RemoveContract(mStore, CustomerId("hydro"), std::nullopt).mExitCode,
            kExitOk);
  EXPECT_EQ(mStore.Counts().Count(StoreCall::Commit), 2U);
}

TEST_F(ContractCommands, ReportThatTheStoreIsUnavailable)
{
  mStore.SetFaults({ .mOutage = true });
  const CommandResult result = Apply(4);
  EXPECT_EQ(result.mExitCode, kExitUnreachable);
  EXPECT_THAT(result.mText, HasSubstr("not-run"));
  EXPECT_EQ(ShowContracts(mStore, std::nullopt).mExitCode, kExitUnreachable);
}

/// A store that calls a function before each commit.
class InterruptedStore final : public Store
{
public:
  InterruptedStore(Store& aStore, std::function<void()> aBeforeCommit)
    : mStore(aStore)
    , mBeforeCommit(std::move(aBeforeCommit))
  {
  }

  absl::StatusOr<StoreEntry> Read(std::string_view aKey) override
  {
    return mStore.Read(aKey);
  }
  absl::StatusOr<StoreListing> List(std::string_view aPrefix) override
  {
    return mStore.List(aPrefix);
  }
  absl::StatusOr<StoreTransactionResult> Commit(
    const StoreTransaction& aTransaction) override
  {
    mBeforeCommit();
    return mStore.Commit(aTransaction);
  }
  absl::StatusOr<StoreLease> GrantLease(Duration aTtl) override
  {
    return mStore.GrantLease(aTtl);
  }
  absl::StatusOr<Duration> KeepAlive(StoreLease aLease) override
  {
    return mStore.KeepAlive(aLease);
  }
  absl::Status RevokeLease(StoreLease aLease) override
  {
    return mStore.RevokeLease(aLease);
  }
  absl::Status Watch(std::string_view aPrefix,
                     Revision aFrom,
                     const std::function<bool(const std::vector<StoreEvent>&)>&
                       aOnEvents) override
  {
    return mStore.Watch(aPrefix, aFrom, aOnEvents);
  }

private:
  Store& mStore;
  std::function<void()> mBeforeCommit;
};

TEST_F(ContractCommands, LoseARaceWithAnotherOperator)
{
  InterruptedStore store(mStore, [this] {
    ASSERT_TRUE(
      mStore.Commit({ {}, { { kKey, FormatContract(MakeContract(9)) } } })
        .ok());
  });
  const std::string path = WriteFile(FormatContract(MakeContract(4)));
  const CommandResult result = ApplyContractFile(store, path, std::nullopt);
  EXPECT_EQ(result.mExitCode, kExitRefused);
  EXPECT_THAT(result.mText, HasSubstr("another operator changed it first"));
  EXPECT_EQ(Stored().mMaxCopies, 9);
}

TEST_F(ContractCommands, ReportAnUnknownOutcomeIfReadingBackFails)
{
  const std::string path = WriteFile(FormatContract(MakeContract(4)));
  // The write is applied, its reply is lost, and reading it back fails.
  InterruptedStore store(mStore, [this] {
    mStore.SetFaults({ .mLoseReplies = 1, .mReadsPerSecond = 1 });
    while (mStore.Read(kKey).status().code() !=
           absl::StatusCode::kResourceExhausted) {
    }
  });
  const CommandResult result = ApplyContractFile(store, path, std::nullopt);
  EXPECT_EQ(result.mExitCode, kExitUnreachable);
  EXPECT_THAT(result.mText, HasSubstr("may have been applied"));
  EXPECT_EQ(result.mJson["verdict"], "may-have-run");
}

struct BadFile
{
  std::string mName;
  std::string mText;
  std::string mExpectedText;

  friend void PrintTo(const BadFile& aCase, std::ostream* aOut)
  {
    *aOut << aCase.mName;
  }
};

class ContractFileRefused : public testing::TestWithParam<BadFile>
{};

TEST_P(ContractFileRefused, NamesTheFieldAndChangesNothing)
{
  MemoryStore store;
  const std::string path = WriteFile(GetParam().mText);
  for (const CommandResult& result :
       { CheckContractFile(path),
         ApplyContractFile(store, path, std::nullopt) }) {
    EXPECT_EQ(result.mExitCode, kExitRefused);
    EXPECT_THAT(result.mText, HasSubstr(path));
    EXPECT_THAT(result.mText, HasSubstr(GetParam().mExpectedText));
  }
  EXPECT_EQ(store.Counts().Total(), 0U);
}

const BadFile kBadFiles[] = {
  { "empty", "", "" },
  { "truncated", R"({"customer":"hydro")", "" },
  { "no object", "[]", "" },
  { "no fields", "{}", "customer" },
  { "negative limit", R"({"customer":"hydro","maxCopies":-1})", "maxCopies" },
  { "wrong type", R"({"customer":7})", "customer" },
  { "unknown field", R"({"customer":"hydro","colour":1})", "colour" },
  { "bad id", R"({"customer":"Hydro Kraków"})", "customer" },
};

INSTANTIATE_TEST_SUITE_P(Table,
                         ContractFileRefused,
                         testing::ValuesIn(kBadFiles));

TEST(ContractFile, ThatDoesNotExistIsRefused)
{
  const CommandResult result = CheckContractFile("/no/such/file");
  EXPECT_EQ(result.mExitCode, kExitRefused);
  EXPECT_THAT(result.mText, HasSubstr("No such file"));
}

} // namespace
} // namespace foxtailbarrow::ctl
