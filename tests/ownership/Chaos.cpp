#include "tests/ownership/Chaos.h"

#include <array>
#include <ostream>

namespace foxtailbarrow::test {

namespace {

constexpr unsigned kFirstAgent = 8;
constexpr unsigned kAllEntries = (1U << kFirstAgent) - 1;
constexpr unsigned kOtherSide = 2;

bool IsTarget(unsigned aTargets, std::size_t aBit)
{
  return ((aTargets >> aBit) & 1U) != 0;
}

} // namespace

std::ostream& operator<<(std::ostream& aOut, const Fault& aFault)
{
  constexpr std::array kNames = {
    "StoreDown", "LostReplies",  "Stragglers",  "EntriesLoseStore", "CutOff",
    "Straddle",  "PauseEntries", "PauseAgents", "RestartEntries"
  };
  return aOut << kNames.at(static_cast<std::size_t>(aFault.mKind))
              << " targets " << aFault.mTargets << " for " << aFault.mSpan
              << " s, then " << aFault.mGap << " s";
}

template<typename Action>
void ChaosFleet::ForEntries(unsigned aTargets, Action aAction)
{
  for (std::size_t entry = 0; entry < Size(); ++entry) {
    if (IsTarget(aTargets, entry)) {
      aAction(entry);
    }
  }
}

template<typename Action>
void ChaosFleet::ForAgents(unsigned aTargets, Action aAction)
{
  for (std::size_t agent = 0; agent < Agents(); ++agent) {
    if (IsTarget(aTargets, kFirstAgent + agent)) {
      aAction(AgentNode(agent));
    }
  }
}

void ChaosFleet::SetSides(unsigned aTargets, unsigned aSides)
{
  ForEntries(aTargets, [=, this](std::size_t aEntry) {
    EntryNode(aEntry).mSides = aSides;
    EntryNode(aEntry).mReachesStore = aSides == kMainSide;
  });
  ForAgents(aTargets, [=](Node& aNode) { aNode.mSides = aSides; });
}

void ChaosFleet::Inject(const Fault& aFault)
{
  const Duration span = std::chrono::seconds(aFault.mSpan);
  const unsigned targets = aFault.mTargets;
  const auto undo = [this, span](Task aTask) { At(Now() + span, aTask); };
  switch (aFault.mKind) {
    case FaultKind::StoreDown:
      mNetwork.mStoreDown = true;
      undo([this] { mNetwork.mStoreDown = false; });
      return;
    case FaultKind::LostReplies:
      mNetwork.mLostReplies = 0.3;
      mNetwork.mLost = 0.1;
      undo([this] { mNetwork.mLostReplies = mNetwork.mLost = 0.0; });
      return;
    case FaultKind::Stragglers:
      mNetwork.mStraggling = 0.2;
      undo([this] { mNetwork.mStraggling = 0.0; });
      return;
    case FaultKind::EntriesLoseStore:
      ForEntries(targets, [&](std::size_t aEntry) {
        EntryNode(aEntry).mReachesStore = false;
        undo([this, aEntry] { EntryNode(aEntry).mReachesStore = true; });
      });
      return;
    case FaultKind::CutOff:
      SetSides(targets, kOtherSide);
      undo([this, targets] { SetSides(targets, kMainSide); });
      return;
    case FaultKind::Straddle:
      SetSides(targets & kAllEntries, kMainSide | kOtherSide);
      undo([this, targets] { SetSides(targets & kAllEntries, kMainSide); });
      return;
    case FaultKind::PauseEntries:
      ForEntries(targets,
                 [&](std::size_t aEntry) { Pause(EntryNode(aEntry), span); });
      return;
    case FaultKind::PauseAgents:
      ForAgents(targets, [&](Node& aNode) { Pause(aNode, span); });
      return;
    case FaultKind::RestartEntries:
      ForEntries(targets, [&](std::size_t aEntry) {
        Kill(aEntry);
        undo([this, aEntry] {
          if (!EntryNode(aEntry).mUp) {
            Start(aEntry);
          }
        });
      });
      return;
  }
}

} // namespace foxtailbarrow::test
