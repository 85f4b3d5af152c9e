#include "src/core/message/detail/ContractFields.h"

namespace foxtailbarrow {

FOXTAILBARROW_DEFINE_CODEC(Contract);

} // namespace foxtailbarrow
