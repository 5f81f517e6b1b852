#pragma once

#include "ConfigurationHolder.h"

#include <deque>
#include <string>
#include <string_view>

namespace borageslip {

/** A daemon's answer to a peer that asks for a configuration newer than its own. */
struct ConfigurationResponse {
    enum class Kind {
        Document, ///< The body is the whole document.
        Difference, ///< The body is a JSON array of merge patches (RFC 7396), applied in turn to the peer's document.
        UpToDate, ///< The body is empty.
    };

    Kind kind = Kind::Document;
    uint64_t revision = 0;
    uint64_t digest = 0; ///< Of the document that results, see FleetConfiguration::digest.
    std::string body;

    /** Names of the kinds between daemons: "document", "difference" and "none". */
    static std::string_view kindName(Kind);
    /** Returns nothing for an unknown name. */
    static std::optional<Kind> kindFromName(std::string_view);

    /** Returns the whole document's text, whose digest is the announced one.
        @param held the configuration to which a difference applies; may be null.
        Errors: InvalidMessage when the result differs from the announced digest or cannot be made; the caller then asks
        for the whole document. */
    Result<std::string> resolveDocument(const AppliedConfiguration* held) const;
};

/** Recent changes of the configuration in force as merge patches, so that a peer that is a little behind gets the
    changes in place of the whole document, which is about 700 KB at 5,000 engines.

    A merge patch cannot set a value to null, so documents must contain none (asserted). Register it as a listener of
    the ConfigurationHolder. Thread-safe. */
class ConfigurationDifferences final : public ConfigurationHolder::Listener {
public:
    struct Limits {
        // 13,000 changes a day are 9 a minute, so this spans about an hour of single changes.
        size_t patches = 512;
        size_t bytes = 512 * 1024;
    };

    ConfigurationDifferences();
    explicit ConfigurationDifferences(Limits);

    void configurationApplied(const AppliedConfiguration&) override;

    /** Answers a peer that holds a revision, 0 for none. A daemon skips revisions that follow each other quickly, so the
        peer's revision may lie inside one of the patches here; the patch then usually leads to the right document
        because it names the final value of each changed field, and the digest shows the cases where it does not.
        Errors: NoConfiguration. */
    Result<ConfigurationResponse> responseFor(uint64_t heldRevision) const;

private:
    struct Patch {
        uint64_t from = 0; ///< Revision before the patch; the next patch begins where this one ends.
        std::string text;
    };

    const Limits m_limits;
    mutable std::mutex m_mutex;
    AppliedConfiguration m_newest;
    std::deque<Patch> m_patches;
    size_t m_bytes = 0;
};

}
