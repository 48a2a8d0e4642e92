#ifndef BILBERRYLEAD_CATALOG_REPLICATED_OUTCOME_HPP
#define BILBERRYLEAD_CATALOG_REPLICATED_OUTCOME_HPP

#include "bilberrylead/catalog/change_outcome.hpp"
#include "bilberrylead/catalog/order_outcome.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once/claim_verdict.hpp"
#include "bilberrylead/once/registration.hpp"
#include "bilberrylead/once/settle_result.hpp"

#include <absl/status/status.h>

#include <variant>

namespace bilberrylead::catalog
{

/// What became of a record of the log: the answer of the part it was for,
/// the log's time after an advance_time, or why it couldn't be read.
using replicated_outcome =
    std::variant<change_outcome, once::claim_verdict, once::settle_result,
                 once::registration, duration, order_outcome, absl::Status>;

} // namespace bilberrylead::catalog

#endif
