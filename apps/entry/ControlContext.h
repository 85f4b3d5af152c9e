#pragma once

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Store.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Rpc.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow::entry {

/// What every part of the control thread uses. All parts run in fibers of the
/// runtime's single thread, so that their state needs no locks: it changes only
/// between two suspensions.
struct ControlContext
{
  EntryId mSelf;
  net::FiberRuntime& mRuntime; ///< One thread.
  Store& mStore;
  net::RpcClient& mRpc;
  Metrics& mMetrics;
};

} // namespace foxtailbarrow::entry
