#include "bilberrylead/config/matches.hpp"

#include "bilberrylead/config/selector.hpp"
#include "bilberrylead/config/upstream.hpp"

#include <algorithm>

namespace bilberrylead::config
{

bool matches(labels const& wanted, labels const& carried)
{
    // Both are ordered maps, so one pass over each is enough.
    return std::includes(carried.begin(), carried.end(), wanted.begin(),
                         wanted.end());
}

bool matches(selector const& rule, upstream const& candidate)
{
    return rule.service == candidate.service &&
           matches(rule.upstreams, candidate.labels);
}

} // namespace bilberrylead::config
