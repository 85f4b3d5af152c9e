#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// What a crash of a worker says of one run that was there.
enum class CrashBlame : std::uint8_t
{
  None, ///< It had lived for long: it is not the cause.
  /// It may not have run at all: its start got no answer.
  Unconfirmed,
  Possible, ///< It may be the cause, but others are likelier.
  Likely,   ///< It is one of the likeliest causes.
  Sole,     ///< It is the only likely cause.
};

/// A run at the moment of the crash.
struct RunAtCrash
{
  Duration mUptime{};    ///< It is known to have run for.
  bool mSuspect = false; ///< Its task was likely to have caused another crash.
};

/// Whom one crash speaks against, in the order of the witnesses. Workers also
/// crash by themselves, so that this is evidence and no proof. The likeliest
/// are fresh suspects, else fresh tasks. Older ones are never likely: crashes
/// by chance meet standing tasks most.
std::vector<CrashBlame> AssignBlame(std::span<const RunAtCrash> aWitnesses);

} // namespace foxtailbarrow::cell
