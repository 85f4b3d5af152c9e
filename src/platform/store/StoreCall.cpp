#include "src/platform/store/StoreCall.h"

#include "src/core/base/EnumText.h"

namespace foxtailbarrow {

namespace {

constexpr EnumText<StoreCall, kStoreCallKinds> kTexts({
  { StoreCall::Read, "read" },
  { StoreCall::List, "list" },
  { StoreCall::Commit, "commit" },
  { StoreCall::GrantLease, "grant-lease" },
  { StoreCall::KeepAlive, "keep-alive" },
  { StoreCall::RevokeLease, "revoke-lease" },
  { StoreCall::Watch, "watch" },
  { StoreCall::ReadSerializable, "read-serializable" },
});

} // namespace

std::string_view ToString(StoreCall aCall)
{
  return kTexts.Text(aCall);
}

} // namespace foxtailbarrow
