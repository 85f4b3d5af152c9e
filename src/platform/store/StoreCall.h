#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace foxtailbarrow {

/// Kinds of store calls, one per method of Store.
enum class StoreCall : std::uint8_t
{
  Read,
  List,
  Commit,
  GrantLease,
  KeepAlive,
  RevokeLease,
  Watch,
  ReadSerializable,
};

inline constexpr std::size_t kStoreCallKinds = 8;

/// The metrics label: `read`, `list`, `commit`, `grant-lease`, `keep-alive`,
/// `revoke-lease`, `watch` or `read-serializable`.
std::string_view ToString(StoreCall aCall);

/// Whether the call changes the store, so that its outcome is unknown after a
/// lost reply. Also selects the rate limit.
constexpr bool IsWrite(StoreCall aCall)
{
  return aCall == StoreCall::Commit || aCall == StoreCall::GrantLease ||
         aCall == StoreCall::KeepAlive || aCall == StoreCall::RevokeLease;
}

} // namespace foxtailbarrow
