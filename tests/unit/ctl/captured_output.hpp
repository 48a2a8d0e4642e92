#ifndef BILBERRYLEAD_TESTS_CTL_CAPTURED_OUTPUT_HPP
#define BILBERRYLEAD_TESTS_CTL_CAPTURED_OUTPUT_HPP

#include <cstdio>
#include <string>

namespace bilberrylead::ctl::tests
{

/// Collects what the process writes to standard output or standard error
/// while this object lives.
class captured_output
{
public:
    /// Redirects the stream, which is stdout or stderr.
    explicit captured_output(std::FILE* redirected);
    /// Restores the stream.
    ~captured_output();
    captured_output(captured_output const&) = delete;
    captured_output& operator=(captured_output const&) = delete;

    /// What was written so far.
    std::string text();

private:
    std::FILE* stream;
    std::FILE* file;
    int original;
};

} // namespace bilberrylead::ctl::tests

#endif
