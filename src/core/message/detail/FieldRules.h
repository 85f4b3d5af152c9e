#pragma once

#include <concepts>
#include <cstddef>
#include <limits>
#include <string>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::detail {

inline constexpr std::size_t kMaxIdBytes = 128;
inline constexpr std::size_t kMaxTextBytes = 1024;
inline constexpr std::size_t kMaxListItems = 65'536;
inline constexpr double kMaxNumber = 1e12;
/// 73,000 years in microseconds: a point in time plus it does not overflow.
inline constexpr Duration::rep kMaxDurationUs = Duration::rep{ 1 } << 61U;

/// Bounds of a number, inclusive.
template<typename T>
struct NumberRule
{
  T mMin{};
  T mMax{};
};

/// Bound of a text.
struct TextRule
{
  std::size_t mMaxBytes = kMaxTextBytes;
};

/// Bounds of an identifier. `mPlain` allows only [a-z0-9-]. `mFromName`: stands
/// for a name of the outside world. Peers and records of earlier versions may
/// have the name itself, which is encoded by IdFromName().
struct IdRule
{
  std::size_t mMaxBytes = kMaxIdBytes;
  bool mPlain = false;
  bool mFromName = false;
};

inline constexpr IdRule kNameRule{ .mFromName = true };

/// An IPv4 address as text.
struct AddressRule
{};

/// No restriction beyond that of the type.
struct NoRule
{};

/// Rule used when a table of fields gives none. Numbers in messages are never
/// negative.
template<typename T>
struct DefaultRule
{
  static constexpr NoRule kValue{};
};

template<std::integral T>
requires(!std::same_as<T, bool>) struct DefaultRule<T>
{
  static constexpr NumberRule<T> kValue{ 0, std::numeric_limits<T>::max() };
};

template<>
struct DefaultRule<double>
{
  static constexpr NumberRule<double> kValue{ 0, kMaxNumber };
};

template<>
struct DefaultRule<Duration>
{
  static constexpr NumberRule<Duration::rep> kValue{ 0, kMaxDurationUs };
};

template<>
struct DefaultRule<std::string>
{
  static constexpr TextRule kValue{};
};

template<typename Tag>
struct DefaultRule<Id<Tag>>
{
  static constexpr IdRule kValue{};
};

} // namespace foxtailbarrow::detail
