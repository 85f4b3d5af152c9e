#include "src/core/job/ShardOf.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace foxtailbarrow {

JobId JobIdFor(const CustomerId& aCustomer, std::string_view aUnique)
{
  std::string text = aCustomer.Value();
  text += '.';
  text += aUnique;
  return JobId(std::move(text));
}

std::string_view CustomerPart(const JobId& aJob)
{
  const std::string_view text = aJob.Value();
  return text.substr(0, text.rfind('.'));
}

ShardId ShardOf(const JobId& aJob, ShardId aShardCount)
{
  const std::string_view customer = CustomerPart(aJob);
  const XXH64_hash_t hash = XXH3_64bits(customer.data(), customer.size());
  return static_cast<ShardId>(hash % aShardCount);
}

} // namespace foxtailbarrow
