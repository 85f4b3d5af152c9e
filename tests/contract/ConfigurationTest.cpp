#include <map>
#include <optional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/core/contract/ConfigurationFollower.h"
#include "src/core/contract/ConfigurationSource.h"
#include "src/core/contract/ContractDocument.h"

namespace foxtailbarrow {
namespace {

const ServiceId kServices[] = { ServiceId("log"), ServiceId("backup") };

CustomerId Customer(int aNumber)
{
  return CustomerId("c" + std::to_string(aNumber));
}

std::string Key(const CustomerId& aCustomer)
{
  return std::string(kContractPrefix) + aCustomer.Value();
}

std::string Document(const CustomerId& aCustomer, int aService)
{
  Contract contract;
  contract.mCustomer = aCustomer;
  contract.mTeam = TeamId("team");
  contract.mService = kServices[aService];
  return FormatContract(contract);
}

/// History of the contract keys in the store.
class History
{
public:
  void Change(const CustomerId& aCustomer, std::optional<std::string> aValue)
  {
    mRevision += 3; // other keys change in between
    mEvents.push_back({ Key(aCustomer), std::move(aValue), mRevision });
  }

  std::span<const StoreEvent> After(Revision aRevision) const
  {
    const auto first =
      std::find_if(mEvents.begin(), mEvents.end(), [&](const auto& aEvent) {
        return aEvent.mModRevision > aRevision;
      });
    return { first, mEvents.end() };
  }

  StoreListing List() const
  {
    std::map<std::string, StoreEntry> entries;
    for (const StoreEvent& event : mEvents) {
      if (event.mValue) {
        entries[event.mKey] = { event.mKey, *event.mValue, event.mModRevision };
      } else {
        entries.erase(event.mKey);
      }
    }
    StoreListing listing{ {}, mRevision + 1 };
    for (const auto& [key, entry] : entries) {
      listing.mEntries.push_back(entry);
    }
    return listing;
  }

  /// Revision at which the customer's contract was written; 0 = none.
  Revision Current(const CustomerId& aCustomer) const
  {
    for (const StoreEntry& entry : List().mEntries) {
      if (entry.mKey == Key(aCustomer)) {
        return entry.mModRevision;
      }
    }
    return 0;
  }

private:
  std::vector<StoreEvent> mEvents;
  Revision mRevision = 10;
};

constexpr int kCustomers = 6;
constexpr int kEntries = 3;
constexpr std::size_t kTinyDelta = 200; // one or two contracts per delta

/// A heartbeat and its reply in flight.
struct Exchange
{
  int mEntry = 0;
  ContractFilter mFilter;
  ConfigurationDelta mDelta;
};

/// One agent, several entries and the store under a random schedule.
class Fleet
{
public:
  Fleet() { RestartAll(); }

  void Act(int aAction, int aNumber)
  {
    const int entry = aNumber % kEntries;
    switch (aAction) {
      case 0:
        mHistory.Change(Customer(aNumber % kCustomers),
                        Document(Customer(aNumber % kCustomers), aNumber % 2));
        break;
      case 1:
        mHistory.Change(Customer(aNumber % kCustomers), std::nullopt);
        break;
      case 2:
        mEntries[entry]->ApplyEvents(
          mHistory.After(mEntries[entry]->AsOf())
            .first(mHistory.After(mEntries[entry]->AsOf()).size() / 2));
        break;
      case 3:
        mEntries[entry]->ApplyListing(mHistory.List());
        break;
      case 4:
        mEntries[entry] = std::make_unique<ConfigurationSource>();
        break;
      case 5:
        mTaskCustomer = Customer(aNumber % kCustomers);
        break;
      case 6:
        Send(entry);
        break;
      default:
        Deliver(aNumber, aNumber % 3 == 0);
    }
  }

  void Settle()
  {
    for (const auto& entry : mEntries) {
      entry->ApplyListing(mHistory.List());
    }
    for (int round = 0; round < 40; ++round) {
      for (int entry = 0; entry < kEntries; ++entry) {
        Send(entry);
        Deliver(static_cast<int>(mInFlight.size()) - 1, false);
      }
    }
  }

  /// A contract may be outdated if neither its current nor its held version is
  /// relevant to the agent.
  void CheckEqual() const
  {
    for (int i = 0; i < kCustomers; ++i) {
      RC_ASSERT(RelevantRevision(mFollower.Find(Customer(i))) ==
                RelevantRevision(mEntries[0]->View()->Find(Customer(i))));
    }
    RC_ASSERT(!mFollower.Resyncing());
  }

private:
  void RestartAll()
  {
    for (auto& entry : mEntries) {
      entry = std::make_unique<ConfigurationSource>();
    }
  }

  ContractFilter Filter() const { return { kServices[0], { mTaskCustomer } }; }

  Revision RelevantRevision(const Contract* aContract) const
  {
    return aContract != nullptr && Filter().Passes(*aContract)
             ? aContract->mRevision
             : 0;
  }

  void Send(int aEntry)
  {
    Heartbeat heartbeat;
    heartbeat.mService = kServices[0];
    heartbeat.mTasks.resize(1);
    heartbeat.mTasks[0].mStatus.mCustomer = mTaskCustomer;
    heartbeat.mConfiguration = mFollower.CursorFor(Name(aEntry));
    mInFlight.push_back({ aEntry,
                          FilterFor(heartbeat),
                          mEntries[aEntry]->Answer(heartbeat, kTinyDelta) });
  }

  void Deliver(int aNumber, bool aDuplicate)
  {
    if (mInFlight.empty()) {
      return;
    }
    const std::size_t index = aNumber % mInFlight.size();
    const Exchange exchange = mInFlight[index];
    if (!aDuplicate) {
      mInFlight.erase(mInFlight.begin() + static_cast<std::ptrdiff_t>(index));
    }
    mFollower.Apply(Name(exchange.mEntry), exchange.mDelta, exchange.mFilter);
    CheckNothingReverted();
  }

  void CheckNothingReverted()
  {
    for (int i = 0; i < kCustomers; ++i) {
      const CustomerId customer = Customer(i);
      Observed& observed = mObserved[i];
      const Contract* held = mFollower.Find(customer);
      if (held == nullptr) {
        RC_ASSERT(!observed.mInForce ||
                  mHistory.Current(customer) != observed.mRevision);
        observed.mInForce = false;
        continue;
      }
      RC_ASSERT(held->mRevision > observed.mRevision ||
                (observed.mInForce && held->mRevision == observed.mRevision));
      observed = { held->mRevision, true };
    }
  }

  static EntryId Name(int aEntry)
  {
    return EntryId("entry" + std::to_string(aEntry));
  }

  struct Observed
  {
    Revision mRevision = 0;
    bool mInForce = false;
  };

  History mHistory;
  std::unique_ptr<ConfigurationSource> mEntries[kEntries];
  ConfigurationFollower mFollower;
  CustomerId mTaskCustomer = Customer(0);
  std::vector<Exchange> mInFlight;
  Observed mObserved[kCustomers];
};

RC_GTEST_PROP(
  Configuration,
  NeverRevertsAndConverges,
  (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& aSteps))
{
  Fleet fleet;
  for (const auto& [action, number] : aSteps) {
    fleet.Act(action % 10, number);
  }
  fleet.Settle();
  fleet.CheckEqual();
}

TEST(ConfigurationSource, SendsNothingAfterAnAgentStatedANewerChange)
{
  History history;
  history.Change(Customer(1), Document(Customer(1), 0));
  ConfigurationSource source;
  source.ApplyListing(history.List());
  Heartbeat heartbeat;
  heartbeat.mService = kServices[0];
  EXPECT_EQ(source.Answer(heartbeat).mContracts.size(), 1u);
  history.Change(Customer(1), std::nullopt);
  heartbeat.mConfiguration = history.After(0).back().mModRevision;
  source.Answer(heartbeat);
  heartbeat.mConfiguration = 0; // an agent that restarted
  EXPECT_TRUE(source.Answer(heartbeat).mContracts.empty());
  EXPECT_TRUE(source.NeedsListing());
  source.ApplyListing(history.List());
  EXPECT_FALSE(source.NeedsListing());
}

TEST(ConfigurationSource, RefusesOlderListingsAndEvents)
{
  History history;
  history.Change(Customer(1), Document(Customer(1), 0));
  const StoreListing before = history.List();
  history.Change(Customer(1), std::nullopt);
  ConfigurationSource source;
  source.ApplyListing(before);
  source.ApplyEvents(history.After(before.mRevision));
  EXPECT_EQ(source.View()->Find(Customer(1)), nullptr);
  EXPECT_TRUE(source.ApplyListing(before).mStale);
  EXPECT_TRUE(source.ApplyEvents(history.After(0).first(1)).mStale);
  EXPECT_EQ(source.View()->Find(Customer(1)), nullptr);
}

TEST(ConfigurationSource, KeepsAContractWhoseDocumentBecameUnreadable)
{
  History history;
  history.Change(Customer(1), Document(Customer(1), 0));
  ConfigurationSource source;
  source.ApplyListing(history.List());
  history.Change(Customer(1), "{}");
  EXPECT_EQ(source.ApplyListing(history.List()).mErrors.size(), 1u);
  EXPECT_NE(source.View()->Find(Customer(1)), nullptr);
  history.Change(Customer(2), Document(Customer(1), 0));
  EXPECT_EQ(source.ApplyEvents(history.After(source.AsOf())).mErrors.size(),
            1u);
}

TEST(ConfigurationView, StopsADeltaOnlyBetweenRevisions)
{
  ConfigurationView view;
  for (int i = 0; i < 4; ++i) {
    auto contract = *ParseContract(Document(Customer(i), 0));
    contract.mRevision = 5 + i / 2;
    view.Set(contract);
  }
  const auto first = view.ChangesSince(0, { kServices[0], {} }, 1);
  EXPECT_EQ(first.mContracts.size(), 2u);
  EXPECT_EQ(first.mThrough, 5);
  EXPECT_EQ(view.ChangesSince(5, { kServices[0], {} }, 1).mThrough, 6);
}

} // namespace
} // namespace foxtailbarrow
