// Keeps requests of this host in the zone in which they arrived.
if host.ends_with("booking.example") {
    #{ zones: zones.filter(|other| other == zone) }
}
