#pragma once

#include <iosfwd>

#include "tests/ownership/TaskFleet.h"

namespace foxtailbarrow::test {

enum class FaultKind : std::uint8_t
{
  StoreDown,
  LostReplies,
  Stragglers,
  EntriesLoseStore, ///< Targeted entries cannot reach the store.
  CutOff,           ///< Targets reach only one another, and not the store.
  Straddle,         ///< Targeted entries reach both sides, but not the store.
  PauseEntries,
  PauseAgents,
  RestartEntries, ///< Killed, and started again after the span.
};

/// A fault that is injected now and removed after a span.
struct Fault
{
  FaultKind mKind = FaultKind::StoreDown;
  unsigned mTargets = 0; ///< Bits: entries from 0, agents from 8.
  int mSpan = 0;         ///< Seconds.
  int mGap = 0;          ///< Seconds until the next fault.
};

std::ostream& operator<<(std::ostream& aOut, const Fault& aFault);

/// A fleet with fault injection.
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
