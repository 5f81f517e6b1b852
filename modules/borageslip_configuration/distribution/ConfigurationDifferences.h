#pragma once

#include "ConfigurationHolder.h"

#include <deque>
#include <string>
#include <string_view>

namespace borageslip {

/** A daemon's response to a peer that requests a configuration newer than its own. */
struct ConfigurationResponse {
    enum class Kind {
        Document, ///< The body is the whole document.
        Difference, ///< The body is a JSON array of merge patches (RFC 7396), to be applied in order to the peer's document.
        UpToDate, ///< The peer has the newest revision; the body is empty.
    };

    Kind kind = Kind::Document;
    uint64_t revision = 0;
    uint64_t digest = 0; ///< Of the resulting document, see FleetConfiguration::digest.
    std::string body;

    /** Returns the name of a kind in the protocol between daemons: "document", "difference" or "none". */
    static std::string_view kindName(Kind);
    /** Returns nothing for an unknown name. */
    static std::optional<Kind> kindFromName(std::string_view);

    /** Returns the text of the complete document, after checking it against the announced digest.
        @param held the configuration to which a difference is applied; may be null.
        Errors: InvalidMessage when the patches cannot be applied or the result does not match the digest; the caller
        then requests the complete document. */
    Result<std::string> resolveDocument(const AppliedConfiguration* held) const;
};

/** Keeps the recent changes of the active configuration as merge patches, so that a peer that is a few revisions behind
    gets the changes instead of the complete document, which is about 700 KB at 5,000 engines.

    A merge patch cannot set a value to null, so documents must not contain null (asserted). Register it as a listener
    of the ConfigurationHolder. Thread-safe. */
class ConfigurationDifferences final : public ConfigurationHolder::Listener {
public:
    struct Limits {
        // 13,000 changes a day are 9 a minute, so this covers about an hour of single changes.
        size_t patches = 512;
        size_t bytes = 512 * 1024;
    };

    ConfigurationDifferences();
    explicit ConfigurationDifferences(Limits);

    void configurationApplied(const AppliedConfiguration&) override;

    /** Returns the response for a peer that holds the given revision.

        Daemons skip revisions that follow each other quickly, so the peer's revision may lie between the two revisions
        of a patch. The patch then usually still yields the right document, because it contains the final value of each
        changed field; the digest detects the cases in which it does not.
        @param heldRevision 0 if the peer has no configuration.
        Errors: NoConfiguration when no configuration is active here. */
    Result<ConfigurationResponse> responseFor(uint64_t heldRevision) const;

private:
    struct Patch {
        uint64_t from = 0; ///< Revision before the patch. The patch leads to the next one's `from`, the last to m_newest.
        std::string text;
    };

    const Limits m_limits;
    mutable std::mutex m_mutex;
    AppliedConfiguration m_newest;
    std::deque<Patch> m_patches;
    size_t m_bytes = 0;
};

}
