#include "standins/backend/BackendService.h"

#include <algorithm>

#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"
#include <boost/fiber/operations.hpp>

#include "src/core/message/Json.h"
#include "src/net/JsonResponse.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtailbarrow::standin {

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kInternalError = 500;
constexpr unsigned kUnavailable = 503;

/// HttpServer closes the connection without a response.
constexpr unsigned kNoResponse = 0;

std::string Header(const net::HttpRequest& aRequest, std::string_view aName)
{
  return std::string(aRequest.mHeaders.Find(aName).value_or(""));
}

Json::Value Echo(const net::HttpRequest& aRequest)
{
  Json::Value echo(Json::objectValue);
  echo["requestId"] = Header(aRequest, "Foxtailbarrow-Request-Id");
  echo["method"] = aRequest.mMethod;
  echo["target"] = aRequest.mTarget;
  echo["bodyBytes"] = Json::UInt64{ aRequest.mBody.size() };
  echo["bodyHash"] = absl::StrFormat(
    "%016x", XXH3_64bits(aRequest.mBody.data(), aRequest.mBody.size()));
  return echo;
}

bool IsEvery(std::uint64_t aCount, std::uint32_t aEvery)
{
  return aEvery != 0 && aCount % aEvery == 0;
}

} // namespace

BackendService::BackendService(BackendSettings aSettings)
  : mSettings(aSettings)
{
}

net::HttpResponse BackendService::Handle(const net::HttpRequest& aRequest)
{
  if (aRequest.mTarget == "/standin/executions") {
    return net::JsonResponse(200, ExecutionsJson());
  }
  if (aRequest.mTarget == "/standin/executions/ids") {
    return net::JsonResponse(200, IdsJson());
  }
  if (aRequest.mTarget == "/standin/faults") {
    return SetFaults(aRequest);
  }
  if (aRequest.mTarget == "/healthz") {
    const bool isDraining = mDraining || Faults().mDraining;
    return net::JsonResponse(isDraining ? kUnavailable : 200,
                             isDraining ? "draining" : "ok");
  }
  return Serve(aRequest);
}

net::HttpResponse BackendService::Serve(const net::HttpRequest& aRequest)
{
  const BackendFaults faults = mAnyFault ? Faults() : BackendFaults{};
  const std::uint64_t count = ++mServed;
  Duration service = mSettings.mService;
  if (std::int64_t micros = 0;
      absl::SimpleAtoi(Header(aRequest, "Standin-Service-Us"), &micros)) {
    service = Duration(micros);
  }
  AcquireSlot();
  if (mSettings.mRecord) {
    mExecutions.Add(Header(aRequest, "Foxtailbarrow-Request-Id"));
  }
  if (service + faults.mSlow > Duration{}) {
    boost::this_fiber::sleep_for(service + faults.mSlow);
  }
  ReleaseSlot();
  if (IsEvery(count, faults.mCutEvery)) {
    return net::JsonResponse(kNoResponse, {});
  }
  if (IsEvery(count, faults.mFailEvery)) {
    return net::JsonResponse(kInternalError, "fault enabled");
  }
  return net::JsonResponse(200, Echo(aRequest));
}

void BackendService::AcquireSlot()
{
  const std::int32_t inProgress = ++mInProgress;
  std::int32_t peak = mPeak;
  while (inProgress > peak && !mPeak.compare_exchange_weak(peak, inProgress)) {
  }
  std::unique_lock lock(mSlotMutex);
  mSlotFree.wait(lock, [this] { return mUsedSlots < mSettings.mSlots; });
  ++mUsedSlots;
}

void BackendService::ReleaseSlot()
{
  {
    const std::lock_guard lock(mSlotMutex);
    --mUsedSlots;
  }
  mSlotFree.notify_one();
  --mInProgress;
}

BackendFaults BackendService::Faults() const
{
  const std::lock_guard lock(mFaultMutex);
  return mFaults;
}

net::HttpResponse BackendService::SetFaults(const net::HttpRequest& aRequest)
{
  const auto value = ParseJson(aRequest.mBody);
  const auto faults =
    value.ok() ? BackendFaultsFromJson(*value) : value.status();
  if (!faults.ok()) {
    return net::JsonResponse(kBadRequest,
                             std::string(faults.status().message()));
  }
  const std::lock_guard lock(mFaultMutex);
  mFaults = *faults;
  mAnyFault = true;
  return net::JsonResponse(200, Json::Value(Json::objectValue));
}

Json::Value BackendService::ExecutionsJson() const
{
  const ExecutionCounts counts = mExecutions.Counts();
  Json::Value object(Json::objectValue);
  object["total"] = Json::UInt64{ counts.mTotal };
  object["distinct"] = Json::UInt64{ counts.mDistinct };
  object["doubled"] = Json::UInt64{ counts.mRepeated };
  object["doubledIds"] = Json::Value(Json::arrayValue);
  for (const std::string& id : counts.mRepeatedIds) {
    object["doubledIds"].append(id);
  }
  object["peakInProgress"] = Json::Int{ mPeak.load() };
  return object;
}

Json::Value BackendService::IdsJson() const
{
  Json::Value runs(Json::objectValue);
  for (const auto& [id, count] : mExecutions.Runs()) {
    runs[id] = Json::UInt{ count };
  }
  Json::Value object(Json::objectValue);
  object["runs"] = std::move(runs);
  return object;
}

} // namespace foxtailbarrow::standin
