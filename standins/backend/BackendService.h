#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "foxtailbarrow/Time.h"
#include "src/net/HttpMessage.h"
#include "standins/backend/BackendFaults.h"
#include "standins/backend/ExecutionCounter.h"

namespace foxtailbarrow::standin {

struct BackendSettings
{
  std::int32_t mSlots = 8;
  Duration mService{}; ///< Service time of requests that name none.
  bool mRecord = true; ///< Counts executions by request id.
};

/// A backend server that echoes requests. Runs up to `mSlots` requests
/// concurrently; further ones wait. A request's header Standin-Service-Us
/// overrides the service time of the settings. For tests: GET
/// /standin/executions (the totals), GET /standin/executions/ids
/// (`{"runs":{"<id>":n}}`) and POST /standin/faults. Handle() may be called by
/// several fibers and threads.
class BackendService
{
public:
  explicit BackendService(BackendSettings aSettings);

  net::HttpResponse Handle(const net::HttpRequest& aRequest);

  /// From now on /healthz responds with 503.
  void Drain() { mDraining = true; }

private:
  net::HttpResponse Serve(const net::HttpRequest& aRequest);
  net::HttpResponse SetFaults(const net::HttpRequest& aRequest);
  Json::Value ExecutionsJson() const;
  Json::Value IdsJson() const;
  BackendFaults Faults() const;
  void AcquireSlot();
  void ReleaseSlot();

  const BackendSettings mSettings;
  ExecutionCounter mExecutions;
  std::atomic<bool> mDraining{ false };
  std::atomic<std::uint64_t> mServed{ 0 };
  std::atomic<std::int32_t> mPeak{ 0 }; ///< Maximum of mInProgress.
  std::atomic<std::int32_t> mInProgress{ 0 };
  boost::fibers::mutex mSlotMutex; ///< Guards mUsedSlots.
  boost::fibers::condition_variable mSlotFree;
  std::int32_t mUsedSlots = 0;
  mutable std::mutex mFaultMutex; ///< Guards mFaults.
  BackendFaults mFaults;
  std::atomic<bool> mAnyFault{ false };
};

} // namespace foxtailbarrow::standin
