#pragma once

#include <json/value.h>

#include "src/core/job/JobScheduler.h"

namespace foxtailbarrow::entry {

/// One line of a listing of jobs.
Json::Value SummaryOf(const JobRecord& aRecord);

/// The record and the latest decisions; null for an unknown job.
Json::Value ExplanationOf(const JobScheduler& aScheduler,
                          const JobId& aJob,
                          Instant aNow);

} // namespace foxtailbarrow::entry
