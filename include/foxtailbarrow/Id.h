#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace foxtailbarrow {

/// Strongly typed text identifier: a worker's id cannot be passed for a
/// customer's.
template<typename Tag>
class Id
{
public:
  Id() = default;
  explicit Id(std::string aValue)
    : mValue(std::move(aValue))
  {
  }

  const std::string& Value() const { return mValue; }
  bool Empty() const { return mValue.empty(); }

  // False positive: clang-tidy takes the 0 of the generated comparison for a
  // null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Id&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const Id& aId)
  {
    return H::combine(std::move(aState), aId.mValue);
  }

private:
  std::string mValue;
};

using CustomerId = Id<struct CustomerTag>;
using TeamId = Id<struct TeamTag>;
using ServiceId = Id<struct ServiceTag>;
using JobId = Id<struct JobTag>;
using AgentId = Id<struct AgentTag>;
using EntryId = Id<struct EntryTag>;
using RequestId = Id<struct RequestTag>;
using RackId = Id<struct RackTag>;
using FailureDomainId = Id<struct FailureDomainTag>;

} // namespace foxtailbarrow
