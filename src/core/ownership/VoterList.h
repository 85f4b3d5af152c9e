#pragma once

#include <cstddef>
#include <span>

#include "src/core/ownership/Records.h"

namespace foxtailbarrow {

/// Number of votes that form a majority; any two majorities share a voter.
std::size_t MajorityOf(const Voters& aVoters);

/// All voters of the lists, sorted by id, without duplicates.
Voters Union(std::span<const Voters> aLists);

} // namespace foxtailbarrow
