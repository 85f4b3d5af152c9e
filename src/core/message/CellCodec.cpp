#include "src/core/message/detail/CellFields.h"

namespace foxtailbarrow {

FOXTAILBARROW_DEFINE_CODEC(cell::StoredJob);
FOXTAILBARROW_DEFINE_CODEC(cell::StoredProgress);
FOXTAILBARROW_DEFINE_CODEC(cell::LearnedInterference);
FOXTAILBARROW_DEFINE_CODEC(cell::OwnerRecord);
FOXTAILBARROW_DEFINE_CODEC(cell::CellRecord);
FOXTAILBARROW_DEFINE_CODEC(cell::AgentContact);
FOXTAILBARROW_DEFINE_CODEC(cell::AttachRequest);
FOXTAILBARROW_DEFINE_CODEC(cell::AttachReply);
FOXTAILBARROW_DEFINE_CODEC(cell::OrderRequest);
FOXTAILBARROW_DEFINE_CODEC(cell::OrderReply);
FOXTAILBARROW_DEFINE_CODEC(cell::ReportRequest);
FOXTAILBARROW_DEFINE_CODEC(cell::ReportReply);
FOXTAILBARROW_DEFINE_CODEC(cell::FindOwner);
FOXTAILBARROW_DEFINE_CODEC(cell::FindOwnerReply);
FOXTAILBARROW_DEFINE_CODEC(cell::CordonRows);
FOXTAILBARROW_DEFINE_CODEC(cell::CordonRowsReply);
FOXTAILBARROW_DEFINE_CODEC(cell::CordonNotice);
FOXTAILBARROW_DEFINE_CODEC(cell::CordonNoticeReply);
FOXTAILBARROW_DEFINE_CODEC(cell::QueryJob);
FOXTAILBARROW_DEFINE_CODEC(cell::QueryJobReply);
FOXTAILBARROW_DEFINE_CODEC(cell::QueryWaiting);
FOXTAILBARROW_DEFINE_CODEC(cell::QueryWaitingReply);
FOXTAILBARROW_DEFINE_CODEC(cell::RecordChanged);
FOXTAILBARROW_DEFINE_CODEC(cell::RecordChangedReply);
FOXTAILBARROW_DEFINE_CODEC(cell::QueryAcceptance);
FOXTAILBARROW_DEFINE_CODEC(cell::QueryAcceptanceReply);
FOXTAILBARROW_DEFINE_CODEC(cell::ForwardedRequest);
FOXTAILBARROW_DEFINE_CODEC(cell::ForwardedReply);

} // namespace foxtailbarrow
