"""Which hosts are alive, as the hosts themselves find out."""
