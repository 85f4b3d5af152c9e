#include "tests/ownership/Fleet.h"

#include <algorithm>

namespace foxtailbarrow::test {

namespace {

constexpr Duration kTick = 200ms;
constexpr Duration kStoreTimeout = 1s;

} // namespace

Fleet::Fleet(const OwnershipSettings& aSettings,
             std::size_t aEntries,
             int aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mEntries(aEntries)
  , mOwners(aEntries)
{
  std::uniform_real_distribution<double> rate(0.99, 1.01);
  for (std::size_t entry = 0; entry < aEntries; ++entry) {
    mEntries[entry].mName = "e" + std::to_string(100 + entry);
    mEntries[entry].mRate = rate(mRandom);
    Start(entry);
  }
}

void Fleet::RunFor(Duration aSpan)
{
  const Duration end = mNow + aSpan;
  while (!mQueue.empty() && mQueue.begin()->first <= end) {
    auto next = mQueue.extract(mQueue.begin());
    mNow = next.key();
    next.mapped()();
  }
  mNow = end;
}

void Fleet::Start(std::size_t aEntry)
{
  Node& node = mEntries[aEntry];
  node.mUp = true;
  node.mPausedUntil = {};
  ++node.mIncarnation;
  mDrained.erase(aEntry);
  const EntryRecord self{ EntryId(node.mName),
                          static_cast<Incarnation>(node.mIncarnation),
                          { "127.0.0.1",
                            static_cast<std::uint16_t>(aEntry + 1) },
                          0 };
  mOwners[aEntry] =
    std::make_unique<ShardOwnership>(mSettings, self, LocalNow(aEntry));
  Every(node, kTick, [this, aEntry] {
    Handle(aEntry, OwnershipTick{});
    OnTick(aEntry);
  });
}

void Fleet::DrainEntry(std::size_t aEntry)
{
  Handle(aEntry, OwnershipDrain{});
}

std::size_t Fleet::Holders(ShardId aShard) const
{
  std::size_t holders = 0;
  for (std::size_t entry = 0; entry < mEntries.size(); ++entry) {
    const bool holds =
      mEntries[entry].mUp && mOwners[entry]->MayExtend(aShard, LocalNow(entry));
    holders += holds ? 1 : 0;
  }
  return holders;
}

void Fleet::At(Duration aTime, Task aTask)
{
  mQueue.emplace(aTime, std::move(aTask));
}

void Fleet::Deliver(Node& aNode, Duration aDelay, Task aTask)
{
  At(mNow + aDelay,
     [this, &aNode, incarnation = aNode.mIncarnation, task = std::move(aTask)] {
       if (!aNode.mUp || aNode.mIncarnation != incarnation) {
         return;
       }
       if (aNode.mPausedUntil > mNow) {
         Deliver(aNode, aNode.mPausedUntil - mNow, task);
       } else {
         task();
       }
     });
}

void Fleet::Every(Node& aNode, Duration aLocalSpan, Task aTask)
{
  const auto span =
    std::chrono::duration_cast<Duration>(aLocalSpan / aNode.mRate);
  Deliver(aNode, span, [this, &aNode, aLocalSpan, task = std::move(aTask)] {
    task();
    Every(aNode, aLocalSpan, task);
  });
}

void Fleet::CallStore(Node& aNode,
                      StoreCommand aCall,
                      std::function<void(const StoreResult&)> aOnResult)
{
  auto done = std::make_shared<bool>(false);
  const auto finish =
    [done, onResult = std::move(aOnResult)](const StoreResult& aResult) {
      if (!std::exchange(*done, true)) {
        onResult(aResult);
      }
    };
  Deliver(aNode, kStoreTimeout, [finish] {
    finish(CallFailed{ Verdict::MayHaveRun });
  });
  if (Chance(mNetwork.mLost)) {
    return;
  }
  // A pause of the caller between decision and sending delays the call.
  Deliver(aNode, Delay(), [this, &aNode, finish, aCall] {
    if (mNetwork.mStoreDown || !aNode.mReachesStore) {
      return;
    }
    const StoreResult result = mStore.Apply(aCall, mNow);
    if (!Chance(mNetwork.mLostReplies)) {
      Deliver(aNode, Delay(), [finish, result] { finish(result); });
    }
  });
}

void Fleet::Send(Node& aFrom, Node& aTo, Task aTask)
{
  ++mMessages;
  // A pause of the sender between decision and sending delays the message.
  Deliver(aFrom, Delay(), [this, &aFrom, &aTo, task = std::move(aTask)] {
    if ((aFrom.mSides & aTo.mSides) != 0 && !Chance(mNetwork.mLost)) {
      Deliver(aTo, Delay(), task);
    }
  });
}

Duration Fleet::Delay()
{
  std::exponential_distribution<double> spread(1.0);
  const Duration late = Chance(mNetwork.mStraggling)
                          ? Duration(mRandom() % Duration(15s).count())
                          : 0us;
  return late + std::chrono::duration_cast<Duration>(mNetwork.mDelay *
                                                     spread(mRandom));
}

bool Fleet::Chance(double aChance)
{
  return aChance > 0 && std::bernoulli_distribution(aChance)(mRandom);
}

void Fleet::Handle(std::size_t aEntry, const OwnershipEvent& aEvent)
{
  const OwnershipActions actions =
    mOwners[aEntry]->On(aEvent, LocalNow(aEntry));
  OnShards(aEntry, actions);
  for (const OwnershipAction& action : actions) {
    std::visit([&](const auto& aAction) { Act(aEntry, aAction); }, action);
  }
}

void Fleet::Act(std::size_t aEntry, const StoreRequest& aAction)
{
  CallStore(mEntries[aEntry],
            aAction.mCall,
            [this, aEntry, id = aAction.mId](const StoreResult& aResult) {
              Handle(aEntry, StoreReply{ id, aResult });
            });
}

void Fleet::Act(std::size_t aEntry, const SendAttest& aAction)
{
  const std::size_t to = Index(aAction.mTo);
  Send(mEntries[aEntry], mEntries[to], [=, this, request = aAction.mRequest] {
    AttestReply reply = mOwners[to]->OnAttest(request, LocalNow(to));
    reply.mAttested = reply.mAttested || mVotersIgnorePromises;
    Send(mEntries[to], mEntries[aEntry], [=, this] { Handle(aEntry, reply); });
  });
}

void Fleet::Act(std::size_t aEntry, const SendPromise& aAction)
{
  const std::size_t to = Index(aAction.mTo);
  Send(mEntries[aEntry], mEntries[to], [=, this, request = aAction.mRequest] {
    const PromiseReply reply = mOwners[to]->OnPromise(request);
    Send(mEntries[to], mEntries[aEntry], [=, this] { Handle(aEntry, reply); });
  });
}

std::size_t Fleet::Index(const EntryId& aEntry) const
{
  const auto found = std::ranges::find(mEntries, aEntry.Value(), &Node::mName);
  return static_cast<std::size_t>(found - mEntries.begin());
}

} // namespace foxtailbarrow::test
