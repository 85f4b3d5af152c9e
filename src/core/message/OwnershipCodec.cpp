#include "src/core/message/detail/OwnershipFields.h"

namespace foxtailbarrow {

FOXTAILBARROW_DEFINE_CODEC(AttestRequest);
FOXTAILBARROW_DEFINE_CODEC(AttestReply);
FOXTAILBARROW_DEFINE_CODEC(PromiseRequest);
FOXTAILBARROW_DEFINE_CODEC(PromiseReply);

} // namespace foxtailbarrow
