#include "src/core/admission/ShareAllocator.h"
#include "src/core/message/detail/Define.h"

namespace foxtailbarrow {

namespace detail {

template<typename Visitor, Is<ShareOwner> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("entry", aMessage.mEntry);
  aVisitor.Required("incarnation", aMessage.mIncarnation);
}

} // namespace detail

FOXTAILBARROW_DEFINE_CODEC(ShareOwner);

} // namespace foxtailbarrow
