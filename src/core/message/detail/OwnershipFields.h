#pragma once

#include "foxtailbarrow/Ownership.h"
#include "src/core/message/detail/CommonFields.h"

namespace foxtailbarrow::detail {

template<typename Visitor, Is<AttestRequest> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("owner", aMessage.mOwner);
  aVisitor.Required("tenure", aMessage.mTenure);
  aVisitor.Required("sequence", aMessage.mSequence);
}

template<typename Visitor, Is<AttestReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("voter", aMessage.mVoter);
  aVisitor.Required("tenure", aMessage.mTenure);
  aVisitor.Required("sequence", aMessage.mSequence);
  aVisitor.Required("attested", aMessage.mAttested);
}

template<typename Visitor, Is<PromiseRequest> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("successor", aMessage.mSuccessor);
  aVisitor.Required("tenures", aMessage.mTenures);
  aVisitor.Required("sequence", aMessage.mSequence);
}

template<typename Visitor, Is<PromiseReply> Message>
void Fields(Visitor& aVisitor, Message& aMessage)
{
  aVisitor.Required("voter", aMessage.mVoter);
  aVisitor.Required("tenures", aMessage.mTenures);
  aVisitor.Required("sequence", aMessage.mSequence);
}

} // namespace foxtailbarrow::detail
