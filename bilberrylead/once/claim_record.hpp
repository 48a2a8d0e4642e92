#ifndef BILBERRYLEAD_ONCE_CLAIM_RECORD_HPP
#define BILBERRYLEAD_ONCE_CLAIM_RECORD_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once/recorded_answer.hpp"
#include "bilberrylead/once/work_digest.hpp"

#include <cstddef>
#include <cstdint>
#include <utility>

namespace bilberrylead::once
{

/// State of the work of a record.
enum class claim_state : std::uint8_t
{
    /// A request holds the claim; the work may be running.
    open,
    /// The work ran; its answer is kept.
    recorded,
    /// The work may have run; its answer is lost.
    unknown,
    /// The claim was released and the work did not run. The record is kept
    /// for once_settings::max_run_time, so that a late claim of the request
    /// that abandoned the work still finds it and is refused.
    released,
};

/// The record of one piece of work. Names that many records share are
/// pointers into the maps of once_records.
struct claim_record
{
    /// State of the work.
    claim_state state = claim_state::open;
    /// Digest of the request body that the work was claimed with.
    std::uint64_t body_digest = 0;
    /// The request that holds or held the claim.
    work_digest request;
    /// The entry host of that request; never nullptr.
    host_id const* entry_host = nullptr;
    /// That entry host's incarnation.
    std::uint64_t incarnation = 0;
    /// The caller and the number of records that it holds; never nullptr.
    std::pair<caller_id const, std::size_t>* caller = nullptr;
    /// Log time at which the record changes without a command: open becomes
    /// unknown, recorded and unknown become a spent key, released is erased.
    duration expires_at{};
    /// The answer; set in state recorded.
    recorded_answer answer;
};

} // namespace bilberrylead::once

#endif
