#ifndef BILBERRYLEAD_LOAD_ANSWER_KIND_HPP
#define BILBERRYLEAD_LOAD_ANSWER_KIND_HPP

#include <string_view>

namespace bilberrylead::load
{

/// How one attempt of a request ended, as its caller sees it.
enum class answer_kind
{
    /// It ran, and the answer is whole and its own.
    done,
    /// It did not run.
    not_run,
    /// It may have run.
    outcome_unknown,
    /// The same piece of work is running now.
    in_progress,
    /// Another final answer: a bad request, an upstream's error.
    refused,
    /// An answer that is complete and yet not what it must be: a "done" one
    /// with damaged bytes or another length, whose caller cannot tell, or any
    /// with an invalid status.
    not_whole,
    /// A "done" answer that belongs to another request.
    not_own,
    /// The connection ended or went silent within a "done" answer; its caller
    /// can tell.
    cut,
    /// The connection ended or went silent after the request was sent.
    no_answer,
    /// No connection could be made; nothing was sent.
    no_connection,
};

/// The kind's name in reports.
std::string_view to_string(answer_kind kind);

/// The kind that an answer's status and headers claim; `outcome` is empty
/// if the answer comes from an upstream itself, whose marker is `not_run`.
answer_kind claimed_kind(unsigned status, std::string_view outcome,
                         bool not_run);

} // namespace bilberrylead::load

#endif
