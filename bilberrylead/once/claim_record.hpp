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

/// How far the work of a record is.
enum class claim_state : std::uint8_t
{
    /// A request holds it and may be running.
    open,
    /// It ran; the answer is kept.
    recorded,
    /// It may have run.
    unknown,
    /// It was given back unrun. The record stays for a while: the claim of
    /// the request that gave up may still be on its way and must find that.
    released,
};

/// What is known of one piece of work. Names that many records share are
/// pointers into the lists of once_records.
struct claim_record
{
    /// How far it is.
    claim_state state = claim_state::open;
    /// Digest of the body it was claimed with.
    std::uint64_t body_digest = 0;
    /// The request that holds or held it.
    work_digest request;
    /// The entry host of that request; never nullptr.
    host_id const* entry_host = nullptr;
    /// That entry host's incarnation.
    std::uint64_t incarnation = 0;
    /// Who asked for it, with the number of records held; never nullptr.
    std::pair<caller_id const, std::size_t>* caller = nullptr;
    /// When the record changes by itself, in time of the log: open becomes
    /// unknown, recorded and unknown become a spent key, released goes.
    duration expires_at{};
    /// The answer, in state recorded.
    recorded_answer answer;
};

} // namespace bilberrylead::once

#endif
