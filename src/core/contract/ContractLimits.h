#pragma once

#include <cstddef>
#include <cstdint>

/// Inclusive bounds of the fields of a contract.
namespace foxtailbarrow {

inline constexpr std::size_t kMaxContractBytes = std::size_t{ 64 } * 1024;
inline constexpr std::size_t kMaxContractIdBytes = 63;
inline constexpr std::int32_t kMaxCopies = 10'000;
inline constexpr std::int32_t kMaxConcurrency = 1'000'000;
inline constexpr double kMaxRequestsPerSecond = 1e6;
inline constexpr std::int32_t kMaxBurst = 1'000'000;
inline constexpr std::int32_t kMaxRunningJobs = 1'000'000;
inline constexpr double kMaxWeight = 100.0;

/// Per customer over the whole fleet: 10,000 workers of 1,000 cores, 10 TiB
/// of memory and 1,000 accelerators each.
inline constexpr std::int64_t kMaxMillicores = 10'000'000'000;
inline constexpr std::int64_t kMaxMemoryMb = 100'000'000'000;
inline constexpr std::int64_t kMaxAccelerators = 10'000'000;

} // namespace foxtailbarrow
