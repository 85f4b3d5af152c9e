#pragma once

#include <cstddef>
#include <span>

#include "src/core/ownership/Records.h"

namespace foxtailbarrow {

/// Votes that make a majority of these voters: any two majorities share one.
std::size_t MajorityOf(const Voters& aVoters);

/// All voters of the lists, sorted by id, each once.
Voters Union(std::span<const Voters> aLists);

} // namespace foxtailbarrow
