#include "standins/store/FaultControls.h"

#include <chrono>
#include <string>

namespace foxtailbarrow {

namespace {

constexpr char kOutage[] = "outage";
constexpr char kDelay[] = "delayMs";
constexpr char kLoseReplies[] = "loseReplies";
constexpr char kWrites[] = "writesPerSecond";
constexpr char kReads[] = "readsPerSecond";

/// Far above any useful value; keeps a delay representable.
constexpr std::uint64_t kMaxNumber = 1'000'000'000;

bool SetNumber(std::uint64_t& aTarget, const Json::Value& aValue)
{
  if (!aValue.isUInt64() || aValue.asUInt64() > kMaxNumber) {
    return false;
  }
  aTarget = aValue.asUInt64();
  return true;
}

bool SetDelay(Duration& aTarget, const Json::Value& aValue)
{
  std::uint64_t milliseconds = 0;
  if (!SetNumber(milliseconds, aValue)) {
    return false;
  }
  aTarget = std::chrono::milliseconds(milliseconds);
  return true;
}

bool SetFault(StoreFaults& aFaults,
              const std::string& aName,
              const Json::Value& aValue)
{
  if (aName == kOutage && aValue.isBool()) {
    aFaults.mOutage = aValue.asBool();
    return true;
  }
  if (aName == kDelay) {
    return SetDelay(aFaults.mDelay, aValue);
  }
  if (aName == kLoseReplies) {
    return SetNumber(aFaults.mLoseReplies, aValue);
  }
  if (aName == kWrites) {
    return SetNumber(aFaults.mWritesPerSecond, aValue);
  }
  return aName == kReads && SetNumber(aFaults.mReadsPerSecond, aValue);
}

} // namespace

absl::StatusOr<StoreFaults> ChangeFaults(StoreFaults aFaults,
                                         const Json::Value& aChange)
{
  for (const std::string& name : aChange.getMemberNames()) {
    if (!SetFault(aFaults, name, aChange[name])) {
      return absl::InvalidArgumentError("unknown or invalid fault " + name);
    }
  }
  return aFaults;
}

Json::Value EncodeFaults(const StoreFaults& aFaults)
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  Json::Value faults(Json::objectValue);
  faults[kOutage] = aFaults.mOutage;
  faults[kDelay] =
    Json::Int64(duration_cast<milliseconds>(aFaults.mDelay).count());
  faults[kLoseReplies] = Json::UInt64(aFaults.mLoseReplies);
  faults[kWrites] = Json::UInt64(aFaults.mWritesPerSecond);
  faults[kReads] = Json::UInt64(aFaults.mReadsPerSecond);
  return faults;
}

Json::Value EncodeCounters(const StoreCallCounts& aCounts,
                           std::uint64_t aMalformed)
{
  Json::Value counters(Json::objectValue);
  for (std::size_t kind = 0; kind < kStoreCallKinds; ++kind) {
    const auto call = static_cast<StoreCall>(kind);
    counters["calls"][std::string(ToString(call))] =
      Json::UInt64(aCounts.Count(call));
  }
  counters["total"] = Json::UInt64(aCounts.Total());
  counters["malformed"] = Json::UInt64(aMalformed);
  return counters;
}

} // namespace foxtailbarrow
