#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::cell {

/// How strongly a worker crash is evidence against one of the worker's runs.
enum class CrashBlame : std::uint8_t
{
  None, ///< Up for kProvenUptime: not the cause.
  /// It may not have run: its start got no answer.
  Unconfirmed,
  Possible, ///< May be the cause, but other runs are likelier.
  Likely,   ///< One of several likeliest causes.
  Sole,     ///< The only likely cause.
};

/// A run at the moment of the crash.
struct RunAtCrash
{
  Duration mUptime{};    ///< How long it is known to have run.
  bool mSuspect = false; ///< Its task is suspected of another crash.
};

/// Blames each run for one crash; the result is in the order of the runs.
/// Workers also crash by themselves, so blame is evidence and not proof. The
/// likeliest causes are fresh runs of suspects, else all fresh runs. Older runs
/// are never likely, since unrelated crashes hit standing tasks most often.
std::vector<CrashBlame> AssignBlame(std::span<const RunAtCrash> aRuns);

} // namespace foxtailbarrow::cell
