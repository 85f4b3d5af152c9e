#pragma once

#include "foxtailbarrow/Endpoint.h"
#include "foxtailbarrow/Resources.h"
#include "src/core/contract/ContractLimits.h"
#include "src/core/message/detail/Define.h"

namespace foxtailbarrow::detail {

template<typename Visitor, Is<Resources> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  using Rule = NumberRule<std::int64_t>;
  aVisitor.Optional(
    "millicores", aMessage.mMillicores, Rule{ 0, kMaxMillicores });
  aVisitor.Optional("memoryMb", aMessage.mMemoryMb, Rule{ 0, kMaxMemoryMb });
  aVisitor.Optional(
    "accelerators", aMessage.mAccelerators, Rule{ 0, kMaxAccelerators });
}

template<typename Visitor, Is<Endpoint> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("address", aMessage.mAddress, AddressRule{});
  aVisitor.Required(
    "port", aMessage.mPort, NumberRule<std::uint16_t>{ 1, 65535 });
}

} // namespace foxtailbarrow::detail
