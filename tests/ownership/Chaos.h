#pragma once

#include <iosfwd>

#include "tests/ownership/TaskFleet.h"

namespace foxtailbarrow::test {

enum class FaultKind : std::uint8_t
{
  StoreDown,
  LostReplies,
  Stragglers,
  EntriesLoseStore, ///< The targets among the entries.
  CutOff,           ///< Targets reach one another only, and not the store.
  Straddle,         ///< Targeted entries reach both sides, not the store.
  PauseEntries,
  PauseAgents,
  RestartEntries, ///< Killed now, started again after the span.
};

/// Something that breaks now and is well again after a span.
struct Fault
{
  FaultKind mKind = FaultKind::StoreDown;
  unsigned mTargets = 0; ///< Bits: entries from 0, agents from 8.
  int mSpan = 0;         ///< Seconds.
  int mGap = 0;          ///< Seconds until the next one.
};

std::ostream& operator<<(std::ostream& aOut, const Fault& aFault);

/// A fleet that faults befall.
class ChaosFleet : public TaskFleet
{
public:
  using TaskFleet::TaskFleet;

  void Inject(const Fault& aFault);

private:
  template<typename Action>
  void ForEntries(unsigned aTargets, Action aAction);
  template<typename Action>
  void ForAgents(unsigned aTargets, Action aAction);
  void SetSides(unsigned aTargets, unsigned aSides);
};

} // namespace foxtailbarrow::test
